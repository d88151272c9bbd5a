/**
 * Simulations of the responses that callers get while the last service of a call chain is overloaded, and while its
 * capacity suffices.
 */
import { expect } from "chai";
import { simulateOverload } from "../support/overloadSimulation.ts";
import type { ClassResult, SimulationResult, TrafficClass } from "../support/overloadSimulation.ts";

const SLOTS_PER_TARGET = 24;
const TARGET_COUNT = 4;
const MEAN_SERVICE_MS = 22;

const CLASSES: readonly TrafficClass[] = [
    {
        name: "cancel",
        priority: 0,
        requestsPerSecond: 260,
        callsPerRequest: 8,
        objectiveMs: 1500,
        deadlineMs: 5000,
    },
    {
        name: "forecast",
        priority: 1,
        requestsPerSecond: 240,
        callsPerRequest: 1,
        objectiveMs: 150,
        deadlineMs: 600,
    },
    {
        name: "lookup",
        priority: 2,
        requestsPerSecond: 700,
        callsPerRequest: 4,
        objectiveMs: 1200,
        deadlineMs: 5000,
    },
];

/**
 * Simulates equally fast targets. `rateFactor` multiplies the request rates of `CLASSES`, whose calls exceed the
 * capacity of the targets already at 1.
 */
function simulate(rateFactor: number, seed: number, retriesAfterRefusal = false): SimulationResult {
    const classes = CLASSES.map(trafficClass => ({
        ...trafficClass,
        requestsPerSecond: trafficClass.requestsPerSecond * rateFactor,
    }));
    return simulateOverload({
        classes,
        speeds: Array.from({ length: TARGET_COUNT }, () => 1),
        slots: SLOTS_PER_TARGET,
        meanServiceMs: MEAN_SERVICE_MS,
        seconds: 20,
        seed,
        retriesAfterRefusal,
    });
}

/**
 * Simulates targets of different speeds whose callers make up to ten calls per request, one after another. `rateFactor`
 * multiplies the request rates of the classes.
 */
function simulateMixedSpeeds(
    seed: number,
    rateFactor: number,
    speeds: readonly number[],
    timeBetweenCallsMs: number,
): SimulationResult {
    const classes: readonly TrafficClass[] = [
        {
            name: "book",
            priority: 0,
            requestsPerSecond: 225,
            callsPerRequest: 10,
            objectiveMs: 1500,
            deadlineMs: 6000,
        },
        {
            name: "read",
            priority: 1,
            requestsPerSecond: 143,
            callsPerRequest: 1,
            objectiveMs: 120,
            deadlineMs: 500,
        },
        {
            name: "list",
            priority: 2,
            requestsPerSecond: 460,
            callsPerRequest: 10,
            objectiveMs: 1500,
            deadlineMs: 6000,
        },
    ];
    return simulateOverload({
        classes: classes.map(trafficClass => ({
            ...trafficClass,
            requestsPerSecond: trafficClass.requestsPerSecond * rateFactor,
        })),
        speeds,
        slots: 54,
        meanServiceMs: MEAN_SERVICE_MS,
        timeBetweenCallsMs,
        seconds: 30,
        seed,
        retriesAfterRefusal: true,
    });
}

const withinObjectiveShare = ({ withinObjective, offered }: ClassResult) => withinObjective / offered;

describe("load on the last service of a call chain", () => {
    for (const seed of [1, 2, 3]) {
        it(`serves nearly all important requests and uses the remaining capacity for others, seed ${seed}`, () => {
            const results = simulate(1.3, seed).classes;
            const [cancel, forecast, lookup] = CLASSES.map(({ name }) => results.get(name)!);
            expect(withinObjectiveShare(cancel!)).to.be.greaterThan(0.95);
            expect(withinObjectiveShare(forecast!)).to.be.greaterThan(0.95);
            const capacity = TARGET_COUNT * SLOTS_PER_TARGET * 1000 / MEAN_SERVICE_MS * 20;
            const used = [...results].reduce(
                (sum, [name, { withinObjective }]) =>
                    sum
                    + withinObjective
                        * CLASSES.find(trafficClass => trafficClass.name === name)!.callsPerRequest,
                0,
            );
            expect(used / capacity).to.be.greaterThan(0.8);
            expect(lookup!.late + lookup!.failed).to.be.lessThan(lookup!.offered * 0.05);
        });
    }

    for (const seed of [1, 2, 3]) {
        it(`responds to retries after a refusal within the latency objective, seed ${seed}`, () => {
            const { retriedWithinObjective, retriedLate } = simulate(1.3, seed, true).classes
                .get("lookup")!;
            expect(retriedWithinObjective + retriedLate).to.be.greaterThan(500);
            expect(retriedWithinObjective / (retriedWithinObjective + retriedLate)).to.be.greaterThan(0.9);
        });
    }

    for (const seed of [1, 2, 3]) {
        it(`admits no more requests than targets of different speeds can serve in time, seed ${seed}`, () => {
            const { offered, late, failed } = simulateMixedSpeeds(seed, 1.8, [1.4, 1, 0.6], 40).classes
                .get("list")!;
            expect(late + failed).to.be.lessThan(offered * 0.05);
        });
    }

    for (const seed of [1, 2, 3]) {
        it(`keeps the slots in use when requests spread their calls over a second, seed ${seed}`, () => {
            const speeds = [1.4, 0.6];
            const { utilizations } = simulateMixedSpeeds(seed, 1, speeds, 80);
            const served = utilizations.reduce((sum, share, index) => sum + share * speeds[index]!, 0);
            expect(served / (speeds[0]! + speeds[1]!)).to.be.greaterThan(0.95);
        });
    }

    it("refuses almost no requests while the capacity is sufficient", () => {
        const results = simulate(0.7, 1).classes;
        for (const [name, { refused, offered }] of results) {
            expect(refused / offered, name).to.be.lessThan(0.01);
        }
    });
});
