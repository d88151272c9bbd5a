/** Admission under overload: cut-offs of targets and at the entry, and when refused callers come back. */
import { expect } from "chai";
import { LEVELS_PER_PRIORITY, MAX_LEVEL } from "../../src/policy/admissionLevel.ts";
import { CutoffController } from "../../src/policy/cutoffController.ts";
import { EntryCutoffs } from "../../src/policy/entryCutoff.ts";
import { OverloadTracker } from "../../src/policy/overloadTracker.ts";
import { retryAfterMs } from "../../src/policy/retryAfter.ts";
import { RouteDependencyMap } from "../../src/policy/routeDependencies.ts";

describe("cut-off of a target", () => {
    const CAPACITY = 60;

    /** One window of requests with even levels of priorities 0 to 2; the target serves `CAPACITY` of them. */
    function simulateWindow(controller: CutoffController, { isSlow = true } = {}): number {
        let admitted = 0;
        for (let level = 0; level < 3 * LEVELS_PER_PRIORITY; level += 4) {
            if (!controller.isAdmitted(level)) continue;
            controller.recordArrival(level);
            if (admitted++ < CAPACITY) {
                controller.recordStart(isSlow && controller.level > CAPACITY * 4 ? 80 : 1);
            }
        }
        const isOverloaded = isSlow && admitted > CAPACITY;
        controller.endWindow(isOverloaded ? 0.8 : 0);
        return admitted;
    }

    it("falls to what the target can serve, the least important first, and rises after it", () => {
        const controller = new CutoffController();
        const admitted = Array.from({ length: 60 }, () => simulateWindow(controller));
        const settled = admitted.slice(10);
        expect(settled.reduce((sum, count) => sum + count, 0) / settled.length).to.be.within(
            CAPACITY * 0.8,
            CAPACITY * 1.1,
        );
        for (let count = 0; count < 40; count++) controller.endWindow(0);
        expect(controller.level).to.equal(MAX_LEVEL);
    });

    it("does not fall without waits", () => {
        const controller = new CutoffController();
        for (let count = 0; count < 30; count++) simulateWindow(controller, { isSlow: false });
        expect(controller.level).to.equal(MAX_LEVEL);
    });

    it("never shuts out everything", () => {
        const controller = new CutoffController();
        for (let count = 0; count < 600; count++) {
            controller.recordArrival(0);
            controller.recordUnserved();
            controller.endWindow(4);
        }
        expect(controller.isAdmitted(0)).to.equal(true);
    });
});

describe("cut-off at the entry", () => {
    const target = (cutoff: number, isUsable = true, serviceMs = 20) => ({
        cutoff,
        isUsable,
        report: { limit: 50, serviceMs },
    });

    it("follows the service with the least room below a route", () => {
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

    it("keeps the cut-off of a filled target when another one has none", () => {
        const cutoffs = new EntryCutoffs(() => [target(MAX_LEVEL), target(2.5 * LEVELS_PER_PRIORITY - 1)]);
        for (let level = 0; level < 3 * LEVELS_PER_PRIORITY; level++) cutoffs.recordRequest(level);
        expect(cutoffs.cutoffOf("s", 0)).to.be.within(2.6 * LEVELS_PER_PRIORITY, 2.9 * LEVELS_PER_PRIORITY);
    });

    it("weighs the cut-offs of targets by what they serve", () => {
        const slow = target(MAX_LEVEL, true, 30);
        const fast = target(2 * LEVELS_PER_PRIORITY - 1, true, 10);
        const cutoffs = new EntryCutoffs(() => [slow, fast]);
        for (let level = 0; level < 3 * LEVELS_PER_PRIORITY; level++) cutoffs.recordRequest(level);
        expect(cutoffs.cutoffOf("s", 0)).to.be.within(2.15 * LEVELS_PER_PRIORITY, 2.4 * LEVELS_PER_PRIORITY);
    });

    it("weighs the cut-offs evenly while some targets have not told what they serve", () => {
        const unreported = { cutoff: 2 * LEVELS_PER_PRIORITY - 1, isUsable: true, report: undefined };
        const cutoffs = new EntryCutoffs(() => [target(MAX_LEVEL), unreported]);
        for (let level = 0; level < 3 * LEVELS_PER_PRIORITY; level++) cutoffs.recordRequest(level);
        expect(cutoffs.cutoffOf("s", 0)).to.be.within(2.4 * LEVELS_PER_PRIORITY, 2.7 * LEVELS_PER_PRIORITY);
    });

    it("knows the services that a route uses through others", () => {
        const dependencies = new RouteDependencyMap();
        expect(dependencies.add("r", ["b"])).to.equal(true);
        expect(dependencies.add("r", ["b"])).to.equal(false);
        expect(dependencies.add("r", ["c", "b"])).to.equal(true);
        expect(dependencies.servicesOf("r")).to.deep.equal(["b", "c"]);
        expect(dependencies.servicesOf("other")).to.deep.equal([]);
    });
});

describe("retry-after", () => {
    it("spreads callers refused under overload within the time that they honour", () => {
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

    it("brings callers back while the mean answer is within the latency objective in a lasting overload", () => {
        const context = { leftMs: 6000, slackMs: 700, overloadDurationMs: 9000 };
        for (let index = 0; index < 50; index++) {
            expect(retryAfterMs("overload", context, () => index / 50)).to.be.within(100, 700);
        }
    });

    it("brings callers back late at the beginning of an overload, when it may have passed", () => {
        const context = { leftMs: 6000, slackMs: 700, overloadDurationMs: 1000 };
        for (let index = 0; index < 50; index++) {
            expect(retryAfterMs("overload", context, () => index / 50)).to.be.within(600, 1500);
        }
    });
});

describe("overload of a route", () => {
    it("lasts from its first refusal until there is none for a while", () => {
        const tracker = new OverloadTracker();
        expect(tracker.recordRefusal("r", 1000)).to.equal(0);
        expect(tracker.recordRefusal("other", 1300)).to.equal(0);
        expect(tracker.recordRefusal("r", 1400)).to.equal(400);
        expect(tracker.recordRefusal("r", 1800)).to.equal(800);
        expect(tracker.recordRefusal("r", 2400)).to.equal(0);
    });
});
