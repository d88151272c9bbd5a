/**
 * Learned capacity of targets and the choice among them, under simulated load: each test names the load and compares
 * with the maximum limit and the choice without learning where that shows the gain.
 */
import { expect } from "chai";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { chooseTarget } from "../../src/policy/loadBalancer.ts";
import { RouteBaselines } from "../../src/policy/routeBaselines.ts";
import { ServiceTime } from "../../src/policy/serviceTime.ts";
import { TargetCapacity } from "../../src/policy/targetCapacity.ts";
import { simulateOverload } from "../support/overloadSimulation.ts";
import type { SimulationOptions, SimulationResult, TrafficClass } from "../support/overloadSimulation.ts";

const SLOTS = 60;
const MAX_LIMIT = 57;
const SERVICE_MS = 22;
/** Requests per second that four targets of speed 1 can serve. */
const CAPACITY = 4 * SLOTS * 1000 / SERVICE_MS;

function makeClass(
    name: string,
    requestsPerSecond: number,
    fields: Partial<TrafficClass> = {},
): TrafficClass {
    return {
        name,
        priority: 1,
        requestsPerSecond,
        callsPerRequest: 1,
        objectiveMs: 200,
        deadlineMs: 2000,
        ...fields,
    };
}

const makeMix = (requestsPerSecond: number): readonly TrafficClass[] => [
    makeClass("safe", requestsPerSecond * 0.6),
    makeClass("unsafe", requestsPerSecond * 0.4, { isIdempotent: false }),
];

function makeOptions(load: number, fields: Partial<SimulationOptions> = {}): SimulationOptions {
    return {
        classes: makeMix(CAPACITY * load),
        speeds: [1, 1, 1, 1],
        slots: SLOTS,
        maxLimitShare: 0.95,
        meanServiceMs: SERVICE_MS,
        seconds: 20,
        seed: 1,
        learnsCapacity: true,
        ...fields,
    };
}

/** 65 nodes with about 6 requests/s each. */
const FEW_REQUESTS = { callerNodeCount: 65, slots: 20, meanServiceMs: 100, classes: makeMix(400) };

function servedShare({ classes }: SimulationResult, name?: string): number {
    const results = [...classes].filter(([other]) => name === undefined || name === other);
    const sum = (key: "withinObjective" | "offered") =>
        results.reduce((total, [, result]) => total + result[key], 0);
    return sum("withinObjective") / sum("offered");
}

function simulateBoth(options: SimulationOptions): { before: SimulationResult; after: SimulationResult; } {
    return {
        before: simulateOverload({ ...options, learnsCapacity: false }),
        after: simulateOverload(options),
    };
}

/** Returns the lowest limit that any target had. */
function lowestLimit(options: SimulationOptions): number {
    let lowest = Infinity;
    const onTick: SimulationOptions["onTick"] = (_, targets) => {
        lowest = Math.min(lowest, ...targets.map(({ limit }) => limit));
    };
    simulateOverload({ ...options, onTick });
    return lowest;
}

const slowAtKnee = (_target: number, _now: number, running: number) => running >= 0.95 * SLOTS ? 1.3 : 1;

function makeCapacity(): TargetCapacity {
    const generator = xoroshiro128plus(1);
    const capacity = new TargetCapacity({ rand: () => uniformInt(generator, 0, 0xffff) / 0x10000 });
    capacity.setSlots(SLOTS, MAX_LIMIT, true);
    return capacity;
}

/** Runs requests with each concurrency up to the limit for 120 s, without a queue. */
function useFully(
    capacity: TargetCapacity,
    slowdownOf: (running: number) => number,
    onTick: () => void,
): void {
    for (let now = 0; now < 120_000; now += 100) {
        onTick();
        for (let running = 1; running <= capacity.limitFor(true); running++) {
            capacity.recordStart(running);
            for (const elapsedMs of [20, 21, 22, 23]) {
                capacity.record("r", elapsedMs * slowdownOf(running), running, capacity.phaseId, now);
            }
        }
        capacity.tick(now, 0, 0, SERVICE_MS);
    }
}

describe("learned limit", () => {
    it("stays below a knee at 95 % of the slots while all targets are overloaded", () => {
        const { before, after } = simulateBoth(makeOptions(1.2, { slowdown: slowAtKnee }));
        expect(after.targets.map(({ limit }) => limit)).to.satisfy((limits: number[]) =>
            limits.every(limit => limit < MAX_LIMIT && limit >= 0.8 * SLOTS)
        );
        expect(servedShare(after)).to.be.greaterThan(servedShare(before) + 0.04);
    });

    it("avoids the knee of one target while the others have room", () => {
        const slowdown: typeof slowAtKnee = (target, now, running) =>
            target === 0 ? slowAtKnee(target, now, running) : 1;
        const { before, after } = simulateBoth(makeOptions(0.9, { slowdown }));
        expect(after.targets[0]!.limit).to.be.lessThan(MAX_LIMIT);
        expect(after.targets.slice(1).map(({ limit }) => limit)).to.deep.equal([57, 57, 57]);
        expect(servedShare(after)).to.be.greaterThan(servedShare(before));
    });

    it("returns to the maximum when the knee is gone", () => {
        const slowdown: typeof slowAtKnee = (target, now, running) =>
            now < 15_000 ? slowAtKnee(target, now, running) : 1;
        const { targets } = simulateOverload(makeOptions(1.1, { slowdown, seconds: 60 }));
        expect(targets.filter(({ limit }) => limit === MAX_LIMIT).length).to.be.at.least(3);
    });

    for (const seed of [1, 2, 3]) {
        it(`stays at the maximum when callers alone cause a queue, seed ${seed}`, () => {
            expect(lowestLimit(makeOptions(1.5, { seed }))).to.equal(MAX_LIMIT);
        });

        it(`stays at the maximum when a target flaps between the speeds 1 and 0.2, seed ${seed}`, () => {
            const slowdown = (target: number, now: number) => target === 0 && now % 4000 < 2000 ? 5 : 1;
            expect(lowestLimit(makeOptions(0.9, { seed, slowdown }))).to.equal(MAX_LIMIT);
        });

        it(`stays at the maximum when targets start cold and when a slow route arrives, seed ${seed}`, () => {
            const classes = [
                makeClass("usual", CAPACITY * 0.85),
                makeClass("slow", 30, { serviceFactor: 20, objectiveMs: 2000, deadlineMs: 5000 }),
            ];
            const slowdown = (_: number, now: number) => now < 3000 ? 2 : 1;
            expect(lowestLimit(makeOptions(1, { seed, classes, slowdown }))).to.equal(MAX_LIMIT);
        });
    }

    // Guards against unsafe requests being used to find out whether a higher limit is better.
    it("lets only idempotent requests start above the learned limit while others have room", () => {
        const capacity = makeCapacity();
        let hasTriedHigher = false;
        useFully(capacity, running => slowAtKnee(0, 0, running), () => {
            expect(capacity.limitFor(false)).to.be.at.most(capacity.limit);
            if (capacity.limitFor(true) > capacity.limit) hasTriedHigher = true;
        });
        expect(capacity.limit).to.be.lessThan(MAX_LIMIT);
        expect(hasTriedHigher).to.equal(true);
    });

    // Guards against a target that gets almost no requests because of a wrong conclusion.
    it("does not fall below a fourth of the slots, and follows the announced slots", () => {
        const capacity = makeCapacity();
        useFully(capacity, running => running ** 2, () => expect(capacity.limit).to.be.at.least(SLOTS / 4));
        expect(capacity.limit).to.be.lessThan(SLOTS / 2);
        capacity.setSlots(8, 7, false);
        expect(capacity.limit).to.equal(7);
        capacity.setSlots(SLOTS, MAX_LIMIT, true);
        expect(capacity.limit).to.equal(MAX_LIMIT);
    });

    // Guards against memory that grows with the routes of many configurations.
    it("keeps baselines of a bounded number of routes", () => {
        const baselines = new RouteBaselines();
        const relativeTimeOf = (route: string, now: number) => {
            for (let index = 0; index < 10; index++) baselines.record(route, 20, now);
            return baselines.record(route, 40, now);
        };
        for (let index = 0; index < 64; index++) expect(relativeTimeOf(`r${index}`, 0)).to.equal(2);
        expect(relativeTimeOf("new", 0)).to.equal(0);
        baselines.endSecond(61_000);
        expect(relativeTimeOf("new", 61_000)).to.equal(2);
    });
});

describe("choice among targets of learned speed", () => {
    it("gives equally fast targets the same work as without learning", () => {
        const { before, after } = simulateBoth(makeOptions(0.6));
        for (const [index, { starts }] of after.targets.entries()) {
            expect(starts / before.targets[index]!.starts).to.be.within(0.95, 1.05);
        }
        expect(servedShare(after)).to.equal(servedShare(before));
    });

    it("serves more of the requests of 65 nodes in time at speeds 0.5, 1, 1 and 1.5", () => {
        const { before, after } = simulateBoth(makeOptions(0, { ...FEW_REQUESTS, speeds: [0.5, 1, 1, 1.5] }));
        expect(servedShare(after)).to.be.greaterThan(servedShare(before) + 0.015);
        expect(after.targets[0]!.starts).to.be.lessThan(before.targets[0]!.starts);
        expect(after.targets[3]!.starts).to.be.greaterThan(after.targets[1]!.starts * 1.5);
    });

    it("sends unsafe requests to a slow target again when it has recovered, but not to find out", () => {
        const starts: number[] = [];
        const { before, after } = simulateBoth(makeOptions(0.5, {
            slowdown: (target, now) => target === 0 && now >= 6000 && now < 12_000 ? 5 : 1,
            dataCentres: ["a", "a", "b", "b"],
            onTick: (now, targets) => starts[Math.round(now / 100)] = targets[0]!.unsafeStarts,
        }));
        expect(starts[120]! - starts[70]!).to.be.lessThan(10);
        expect(starts[200]! - starts[170]!).to.be.greaterThan(1000);
        expect(servedShare(after)).to.be.at.least(servedShare(before) - 0.0005);
        expect(after.remoteShare).to.be.lessThan(before.remoteShare + 0.03);
    });

    it("informs 65 nodes with few requests each of a slow target", () => {
        const slowdown = (target: number, now: number) => target === 0 && now >= 6000 && now < 12_000 ? 5 : 1;
        const { before, after } = simulateBoth(makeOptions(0, { ...FEW_REQUESTS, slowdown }));
        expect(servedShare(after)).to.be.greaterThan(servedShare(before) + 0.01);
    });

    it("sends few requests to a target that fails 45 % of them fast", () => {
        const options = makeOptions(0.5, {
            callerNodeCount: 65,
            failureShare: target => target === 0 ? 0.45 : 0,
        });
        const { before, after } = simulateBoth(options);
        expect(1 - servedShare(after, "unsafe")).to.be.lessThan((1 - servedShare(before, "unsafe")) / 3);
        expect(after.targets[0]!.starts).to.be.lessThan(before.targets[0]!.starts);
        expect(after.targets[0]!.limit).to.equal(MAX_LIMIT);
    });

    // Guards against a target that seems fast because it fails fast.
    it("reports no shorter service time for a target that fails 45 % of its requests fast", () => {
        const serviceTime = new ServiceTime({ learnsCapacity: true });
        for (let index = 0; index < 2000; index++) {
            const hasFailed = index * 9 % 20 < 9;
            serviceTime.recordResponse(hasFailed ? 2 : 40, hasFailed, index * 5);
            serviceTime.recordOutcome(hasFailed);
        }
        expect(serviceTime.ms).to.equal(40);
        expect(serviceTime.reportedMs).to.be.greaterThan(120);
    });

    // Guards against a report that is trusted for good: without other requests, the target would never be used again.
    it("forgets that a target was slow", () => {
        const report = { cutoff: 1023, running: 0, queued: 0, limit: 20, serviceMs: 40, configVersion: 1 };
        const candidate = {
            isSelf: false,
            isInLocalDataCentre: true,
            inFlight: 0,
            inFlightAtReport: 0,
            slots: 20,
            report,
            reportedAt: 0,
            avoidUntil: 0,
        };
        const makeCandidate = (serviceMs: number, reportedAt: number) => ({
            ...candidate,
            report: { ...report, serviceMs },
            reportedAt,
        });
        const choicesAt = (now: number, policy: "explore" | "remember") => {
            const candidates = [makeCandidate(200, 0), makeCandidate(39, now), makeCandidate(41, now)];
            return Array.from(
                { length: 20 },
                (_, draw) => chooseTarget(candidates, now, () => draw / 20, policy),
            );
        };
        expect(choicesAt(3000, "remember")).to.not.include(0);
        expect(choicesAt(60_000, "remember")).to.include(0);
        expect(choicesAt(3000, "explore")).to.not.include(0);
        expect(choicesAt(5000, "explore")).to.include(0);
    });
});
