/** Admission under overload: the cutoffs of targets and entry nodes, and the Retry-After times of refused callers. */
import { expect } from "chai";
import { LEVELS_PER_PRIORITY, MAX_LEVEL } from "../../src/policy/admissionLevel.ts";
import { CutoffController } from "../../src/policy/cutoffController.ts";
import { EntryCutoffs } from "../../src/policy/entryCutoff.ts";
import { OverloadTracker } from "../../src/policy/overloadTracker.ts";
import { retryAfterMs } from "../../src/policy/retryAfter.ts";
import { RouteDependencyMap } from "../../src/policy/routeDependencies.ts";

describe("target cutoff", () => {
    const CAPACITY = 60;

    /**
     * Simulates one window: requests with evenly distributed levels of priorities 0 to 2 arrive, and the target starts
     * at most `CAPACITY` of them. If more are admitted and `isSlow` is set, the started ones have waited for 80 ms.
     * Returns the number of admitted requests.
     */
    function simulateWindow(controller: CutoffController, { isSlow = true } = {}): number {
        let admitted = 0;
        for (let level = 0; level < 3 * LEVELS_PER_PRIORITY; level += 4) {
            if (!controller.isAdmitted(level)) continue;
            controller.recordArrival(level);
            if (admitted++ < CAPACITY) {
                controller.recordStart(isSlow && controller.cutoff > CAPACITY * 4 ? 80 : 1);
            }
        }
        const isOverloaded = isSlow && admitted > CAPACITY;
        controller.endWindow(isOverloaded ? 0.8 : 0);
        return admitted;
    }

    it("falls until the admitted rate matches the target's capacity, and rises after the overload", () => {
        const controller = new CutoffController();
        const admitted = Array.from({ length: 60 }, () => simulateWindow(controller));
        const settled = admitted.slice(10);
        expect(settled.reduce((sum, count) => sum + count, 0) / settled.length).to.be.within(
            CAPACITY * 0.8,
            CAPACITY * 1.1,
        );
        for (let count = 0; count < 40; count++) controller.endWindow(0);
        expect(controller.cutoff).to.equal(MAX_LEVEL);
    });

    it("does not fall while requests do not have to wait", () => {
        const controller = new CutoffController();
        for (let count = 0; count < 30; count++) simulateWindow(controller, { isSlow: false });
        expect(controller.cutoff).to.equal(MAX_LEVEL);
    });

    it("always admits the most important level", () => {
        const controller = new CutoffController();
        for (let count = 0; count < 600; count++) {
            controller.recordArrival(0);
            controller.recordUnserved();
            controller.endWindow(4);
        }
        expect(controller.isAdmitted(0)).to.equal(true);
    });
});

describe("entry cutoff", () => {
    const target = (cutoff: number, isUsable = true, serviceMs = 20) => ({
        cutoff,
        isUsable,
        report: { limit: 50, serviceMs },
    });

    it("is the lowest cutoff of the services that a route depends on", () => {
        const targets = new Map([
            ["a", [target(MAX_LEVEL)]],
            ["b", [target(200), target(300), target(0, false)]],
        ]);
        const cutoffs = new EntryCutoffs(service => targets.get(service) ?? []);
        expect(cutoffs.lowestCutoffOf(["a"], 0)).to.equal(MAX_LEVEL);
        expect(cutoffs.lowestCutoffOf(["a", "b", "unknown"], 0)).to.equal(250);
        targets.set("b", [target(MAX_LEVEL)]);
        expect(cutoffs.lowestCutoffOf(["a", "b"], 100)).to.equal(MAX_LEVEL);
    });

    it("takes the cutoff of an overloaded target into account when another target is not overloaded", () => {
        const cutoffs = new EntryCutoffs(() => [target(MAX_LEVEL), target(2.5 * LEVELS_PER_PRIORITY - 1)]);
        for (let level = 0; level < 3 * LEVELS_PER_PRIORITY; level++) cutoffs.recordRequest(level);
        expect(cutoffs.cutoffOf("s", 0)).to.be.within(2.6 * LEVELS_PER_PRIORITY, 2.9 * LEVELS_PER_PRIORITY);
    });

    it("weights the cutoffs of targets by their service rates", () => {
        const slow = target(MAX_LEVEL, true, 30);
        const fast = target(2 * LEVELS_PER_PRIORITY - 1, true, 10);
        const cutoffs = new EntryCutoffs(() => [slow, fast]);
        for (let level = 0; level < 3 * LEVELS_PER_PRIORITY; level++) cutoffs.recordRequest(level);
        expect(cutoffs.cutoffOf("s", 0)).to.be.within(2.15 * LEVELS_PER_PRIORITY, 2.4 * LEVELS_PER_PRIORITY);
    });

    it("weights the cutoffs of targets equally while some have not reported their service times", () => {
        const unreported = { cutoff: 2 * LEVELS_PER_PRIORITY - 1, isUsable: true, report: undefined };
        const cutoffs = new EntryCutoffs(() => [target(MAX_LEVEL), unreported]);
        for (let level = 0; level < 3 * LEVELS_PER_PRIORITY; level++) cutoffs.recordRequest(level);
        expect(cutoffs.cutoffOf("s", 0)).to.be.within(2.4 * LEVELS_PER_PRIORITY, 2.7 * LEVELS_PER_PRIORITY);
    });

    it("depends on the services of a route, collected without duplicates", () => {
        const dependencies = new RouteDependencyMap();
        expect(dependencies.add("r", ["b"])).to.equal(true);
        expect(dependencies.add("r", ["b"])).to.equal(false);
        expect(dependencies.add("r", ["c", "b"])).to.equal(true);
        expect(dependencies.servicesOf("r")).to.deep.equal(["b", "c"]);
        expect(dependencies.servicesOf("other")).to.deep.equal([]);
    });
});

describe("Retry-After time", () => {
    it("is spread over the range that callers honour under overload", () => {
        const waits = Array.from(
            { length: 50 },
            (_, index) =>
                retryAfterMs(
                    "overload",
                    { leftMs: 600, slackMs: 0, overloadDurationMs: 9000 },
                    () => index / 50,
                ),
        );
        expect(Math.max(...waits)).to.be.at.most(200);
        expect(Math.max(...waits) - Math.min(...waits)).to.be.greaterThan(80);
    });

    it("lets a retry meet the latency objective during a sustained overload", () => {
        const context = { leftMs: 6000, slackMs: 700, overloadDurationMs: 9000 };
        for (let index = 0; index < 50; index++) {
            expect(retryAfterMs("overload", context, () => index / 50)).to.be.within(100, 700);
        }
    });

    it("is long at the beginning of an overload, which may be over by then", () => {
        const context = { leftMs: 6000, slackMs: 700, overloadDurationMs: 1000 };
        for (let index = 0; index < 50; index++) {
            expect(retryAfterMs("overload", context, () => index / 50)).to.be.within(600, 1500);
        }
    });
});

describe("overload tracker", () => {
    it("measures an overload from the first refusal until a time without refusals", () => {
        const tracker = new OverloadTracker();
        expect(tracker.recordRefusal("r", 1000)).to.equal(0);
        expect(tracker.recordRefusal("other", 1300)).to.equal(0);
        expect(tracker.recordRefusal("r", 1400)).to.equal(400);
        expect(tracker.recordRefusal("r", 1800)).to.equal(800);
        expect(tracker.recordRefusal("r", 2400)).to.equal(0);
    });
});
