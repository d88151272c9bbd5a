/** Decisions of the data plane, without a network. */
import { expect } from "chai";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Candidate } from "../../src/policy/balancer.ts";
import { chooseTarget } from "../../src/policy/balancer.ts";
import { Cutoff } from "../../src/policy/cutoff.ts";
import { EntryCutoffs } from "../../src/policy/entryCutoff.ts";
import { BUCKETS, levelOf, MAX_LEVEL } from "../../src/policy/level.ts";
import { OverloadSpans } from "../../src/policy/overloadSpans.ts";
import { retryAfterMs } from "../../src/policy/retryAfter.ts";
import { RetryBudget } from "../../src/policy/retryBudget.ts";
import { decideRetry, repeatCharges } from "../../src/policy/retryDecision.ts";
import type { Attempted } from "../../src/policy/retryDecision.ts";
import { RouteBreaker } from "../../src/policy/routeBreaker.ts";
import { findRoute, SplitChooser } from "../../src/policy/routeTable.ts";
import { RouteUses } from "../../src/policy/routeUses.ts";
import { PriorityQueue } from "../../src/policy/runQueue.ts";
import { makeConfig, makeRoute } from "../support/meshFixtures.ts";

function makeRandom(): () => number {
    const generator = xoroshiro128plus(7);
    return () => uniformInt(generator, 0, 0xffff) / 0x10000;
}

function makeCandidate(fields: Partial<Candidate> = {}): Candidate {
    return {
        isLocalHost: false,
        isLocalDataCentre: false,
        pending: 0,
        pendingAtReport: 0,
        slots: 20,
        report: undefined,
        reportedAt: 0,
        avoidUntil: 0,
        ...fields,
    };
}

function makeAttempted(fields: Partial<Attempted> = {}): Attempted {
    return {
        outcome: { kind: "not-run", reason: "draining" },
        isIdempotent: false,
        sends: 0,
        redirects: 1,
        maxAttempts: 2,
        leftMs: 500,
        isOverloaded: false,
        ...fields,
    };
}

const report = { cutoff: MAX_LEVEL, running: 0, queued: 0, limit: 20, serviceMs: 40, configVersion: 1 };

describe("choice of a target", () => {
    it("keeps to the own data centre while it is not much slower", () => {
        const candidates = [makeCandidate(), makeCandidate({ isLocalDataCentre: true, pending: 10 })];
        for (let draw = 0; draw < 20; draw++) {
            expect(chooseTarget(candidates, 0, () => draw / 20)).to.equal(1);
        }
    });

    it("goes elsewhere before the own data centre is full", () => {
        const nearlyFull = makeCandidate({ isLocalDataCentre: true, report: { ...report, running: 19 } });
        const slower = makeCandidate({ report: { ...report, serviceMs: 60 } });
        for (let draw = 0; draw < 20; draw++) {
            expect(chooseTarget([nearlyFull, slower, slower], 0, () => draw / 20)).to.not.equal(-1);
        }
        const chosen = Array.from(
            { length: 100 },
            (_, draw) => chooseTarget([nearlyFull, slower], 0, () => draw / 100),
        );
        expect(chosen).to.include(1);
    });

    it("keeps filled targets from exchanging requests between data centres", () => {
        const filled = { ...report, running: 20, queued: 4 };
        const local = makeCandidate({ isLocalDataCentre: true, report: filled });
        const remotes = [makeCandidate({ report: filled }), makeCandidate({ report: filled })];
        const rand = makeRandom();
        const chosen = Array.from({ length: 300 }, () => chooseTarget([local, ...remotes], 0, rand));
        expect(chosen.filter(index => index === 0).length).to.equal(300);
        const fuller = { ...local, report: { ...report, running: 20, queued: 20 } };
        const spilled = Array.from({ length: 300 }, () => chooseTarget([fuller, ...remotes], 0, rand));
        expect(spilled.filter(index => index !== 0).length).to.equal(300);
    });

    it("leaves the own data centre when its targets are full or slow", () => {
        const full = makeCandidate({ isLocalDataCentre: true, pending: 40 });
        const slow = makeCandidate({ isLocalDataCentre: true, report: { ...report, serviceMs: 400 } });
        for (const local of [full, slow]) {
            const remotes = [makeCandidate({ report }), makeCandidate({ report })];
            for (let draw = 0; draw < 20; draw++) {
                expect(chooseTarget([local, ...remotes], 0, () => draw / 20)).to.not.equal(0);
            }
        }
    });

    it("avoids a target that has just failed, unless there is no other", () => {
        const failed = makeCandidate({ isLocalDataCentre: true, avoidUntil: 100 });
        expect(chooseTarget([failed, makeCandidate()], 50, () => 0)).to.equal(1);
        expect(chooseTarget([failed], 50, () => 0)).to.equal(0);
        expect(chooseTarget([], 50, () => 0)).to.equal(-1);
    });
});

describe("admission level", () => {
    it("orders by priority first", () => {
        for (const id of ["a", "b", "0123456789abcdef"]) {
            expect(levelOf(0, id)).to.be.lessThan(BUCKETS);
            expect(levelOf(1, id)).to.be.within(BUCKETS, 2 * BUCKETS - 1);
            expect(levelOf(99, id)).to.be.at.most(MAX_LEVEL);
        }
    });

    it("spreads ids over the buckets", () => {
        const counts = new Array<number>(BUCKETS).fill(0);
        for (let index = 0; index < 12_800; index++) counts[levelOf(0, `id-${index}`)]! += 1;
        expect(Math.max(...counts)).to.be.lessThan(200);
        expect(Math.min(...counts)).to.be.greaterThan(40);
    });
});

describe("cut-off of a target", () => {
    const CAPACITY = 60;

    /** One window of requests with even levels of priorities 0 to 2; the target serves `CAPACITY` of them. */
    function window(cutoff: Cutoff, { isSlow = true } = {}): number {
        let admitted = 0;
        for (let level = 0; level < 3 * BUCKETS; level += 4) {
            if (!cutoff.isAdmitted(level)) continue;
            cutoff.noteArrival(level);
            if (admitted++ < CAPACITY) cutoff.noteStart(isSlow && cutoff.value > CAPACITY * 4 ? 80 : 1);
        }
        const isOver = isSlow && admitted > CAPACITY;
        cutoff.tick(isOver ? 0.8 : 0);
        return admitted;
    }

    it("falls to what the target can serve, the least important first, and rises after it", () => {
        const cutoff = new Cutoff();
        const admitted = Array.from({ length: 60 }, () => window(cutoff));
        const later = admitted.slice(10);
        expect(later.reduce((sum, count) => sum + count, 0) / later.length).to.be.within(
            CAPACITY * 0.8,
            CAPACITY * 1.1,
        );
        for (let count = 0; count < 40; count++) cutoff.tick(0);
        expect(cutoff.value).to.equal(MAX_LEVEL);
    });

    it("does not fall without waits", () => {
        const cutoff = new Cutoff();
        for (let count = 0; count < 30; count++) window(cutoff, { isSlow: false });
        expect(cutoff.value).to.equal(MAX_LEVEL);
    });

    it("never shuts out everything", () => {
        const cutoff = new Cutoff();
        for (let count = 0; count < 600; count++) {
            cutoff.noteArrival(0);
            cutoff.noteLost();
            cutoff.tick(4);
        }
        expect(cutoff.isAdmitted(0)).to.equal(true);
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
        expect(cutoffs.lowestOf(["a"], 0)).to.equal(MAX_LEVEL);
        expect(cutoffs.lowestOf(["a", "b", "unknown"], 0)).to.equal(250);
        targets.set("b", [target(MAX_LEVEL)]);
        expect(cutoffs.lowestOf(["a", "b"], 100)).to.equal(MAX_LEVEL);
    });

    it("keeps the cut-off of a filled target when another one has none", () => {
        const cutoffs = new EntryCutoffs(() => [target(MAX_LEVEL), target(2.5 * BUCKETS - 1)]);
        for (let level = 0; level < 3 * BUCKETS; level++) cutoffs.noteRequest(level);
        expect(cutoffs.cutoffOf("s", 0)).to.be.within(2.6 * BUCKETS, 2.9 * BUCKETS);
    });

    it("weighs the cut-offs of targets by what they serve", () => {
        const slow = target(MAX_LEVEL, true, 30);
        const fast = target(2 * BUCKETS - 1, true, 10);
        const cutoffs = new EntryCutoffs(() => [slow, fast]);
        for (let level = 0; level < 3 * BUCKETS; level++) cutoffs.noteRequest(level);
        expect(cutoffs.cutoffOf("s", 0)).to.be.within(2.15 * BUCKETS, 2.4 * BUCKETS);
    });

    it("knows the services that a route uses through others", () => {
        const uses = new RouteUses();
        expect(uses.add("r", ["b"])).to.equal(true);
        expect(uses.add("r", ["b"])).to.equal(false);
        expect(uses.add("r", ["c", "b"])).to.equal(true);
        expect(uses.servicesOf("r")).to.deep.equal(["b", "c"]);
        expect(uses.servicesOf("other")).to.deep.equal([]);
    });
});

describe("queue for slots", () => {
    it("serves the most important first, and hands out what has expired", () => {
        const queue = new PriorityQueue<{ level: number; waitUntil: number; }>();
        const [low, high, late] = [
            { level: 2 * BUCKETS, waitUntil: 100 },
            { level: 3, waitUntil: 100 },
            { level: 5, waitUntil: 10 },
        ];
        for (const item of [low, late, high]) queue.push(item);
        expect(queue.countAhead(BUCKETS)).to.equal(2);
        const expired: unknown[] = [];
        expect(queue.shift(50, item => expired.push(item))).to.equal(high);
        expect(expired).to.deep.equal([late]);
        expect(queue.remove(low)).to.equal(true);
        expect(queue.length).to.equal(0);
    });
});

describe("budget of repeats", () => {
    it("keeps the sum of all nodes below the bound in every window", () => {
        const [ratio, slack, windowMs, nodes] = [0.2, 48, 10_000, 17];
        const budgets = Array.from({ length: nodes }, () => new RetryBudget({ ratio, slack, windowMs }));
        for (const budget of budgets) budget.setNodes(nodes);
        const repeats: number[] = [];
        for (let now = 0; now < 40_000; now += 50) {
            for (const budget of budgets) {
                budget.noteRequest("s", now);
                while (budget.take([{ service: "s", sends: 1 }], now)) repeats.push(now);
            }
        }
        const requestsPerWindow = windowMs / 50 * nodes;
        for (let from = 0; from < 30_000; from += 500) {
            const inWindow = repeats.filter(at => at >= from && at < from + windowMs).length;
            expect(inWindow).to.be.at.most(ratio * requestsPerWindow + slack);
        }
    });

    it("keeps services apart", () => {
        const budget = new RetryBudget({ ratio: 0.2, slack: 10, windowMs: 10_000 });
        const [a, b] = [{ service: "a", sends: 1 }, { service: "b", sends: 1 }];
        while (budget.take([a], 0)) { /* spends all */ }
        expect(budget.take([b], 0)).to.equal(true);
    });

    it("counts the calls of a repeated run at the services below, all or nothing", () => {
        const budget = new RetryBudget({ ratio: 0.2, slack: 10, windowMs: 10_000 });
        for (let index = 0; index < 1000; index++) budget.noteRequest("top", 0);
        let repeats = 0;
        while (budget.take(repeatCharges("top", ["below"], true), 0)) repeats++;
        // "below" has no requests of clients, so only 0.7 of the slack of 10 is there for 4 calls a run.
        expect(repeats).to.equal(1);
        expect(budget.take(repeatCharges("top", ["below"], false), 0)).to.equal(true);
    });
});

describe("another send", () => {
    it("follows a refusal by a node for free, a few times", () => {
        expect(decideRetry(makeAttempted())).to.deep.equal({ kind: "redirect" });
        expect(decideRetry(makeAttempted({ redirects: 4 }))).to.deep.equal({ kind: "stop" });
    });

    it("repeats a request that must not run twice only when it has not run", () => {
        const outcome = { kind: "unknown", reason: "link-lost" } as const;
        expect(decideRetry(makeAttempted({ outcome, sends: 1 }))).to.deep.equal({ kind: "stop" });
        const shed = { kind: "not-run", reason: "target-shed" } as const;
        expect(decideRetry(makeAttempted({ outcome: shed, sends: 1 }))).to.deep.equal({
            kind: "repeat",
            mayHaveRun: false,
        });
        const failure = { kind: "answer", status: 500, headers: "", body: Buffer.alloc(0) } as const;
        expect(decideRetry(makeAttempted({ outcome: failure, sends: 1 }))).to.deep.equal({ kind: "stop" });
    });

    it("repeats an idempotent request after a lost answer, within its attempts and time", () => {
        const outcome = { kind: "unknown", reason: "connection-lost" } as const;
        const lost = makeAttempted({ outcome, isIdempotent: true, sends: 1 });
        expect(decideRetry(lost).kind).to.equal("repeat");
        expect(decideRetry({ ...lost, sends: 2 }).kind).to.equal("stop");
        expect(decideRetry({ ...lost, leftMs: 5 }).kind).to.equal("stop");
    });

    it("does not repeat failures while services below are short of capacity", () => {
        const failure = { kind: "answer", status: 500, headers: "", body: Buffer.alloc(0) } as const;
        const failed = makeAttempted({ outcome: failure, isIdempotent: true, sends: 1 });
        expect(decideRetry(failed).kind).to.equal("repeat");
        expect(decideRetry({ ...failed, isOverloaded: true }).kind).to.equal("stop");
    });
});

describe("breaker of a route", () => {
    const answers = (
        breaker: RouteBreaker,
        count: number,
        { from, failing }: { from: number; failing: number; },
    ) => {
        for (let index = 0; index < count; index++) {
            breaker.note("r", (index * 7 % 100) / 100 < failing, from + index * 10);
        }
    };

    it("refuses most requests while nearly all fail, and lets them pass again once they succeed", () => {
        const breaker = new RouteBreaker();
        answers(breaker, 300, { from: 0, failing: 1 });
        const admitted = Array.from(
            { length: 100 },
            (_, index) => breaker.isAdmitted("r", 3000, () => index / 100),
        );
        expect(admitted.filter(isAdmitted => isAdmitted).length).to.be.within(5, 20);
        answers(breaker, 60, { from: 3100, failing: 0 });
        expect(breaker.isAdmitted("r", 3700, () => 0.99)).to.equal(true);
    });

    it("leaves a route alone of which a part succeeds", () => {
        const breaker = new RouteBreaker();
        answers(breaker, 300, { from: 0, failing: 0.9 });
        expect(breaker.isAdmitted("r", 3000, () => 0.99)).to.equal(true);
    });

    it("lets requests pass when it has heard nothing for a while", () => {
        const breaker = new RouteBreaker();
        answers(breaker, 200, { from: 0, failing: 1 });
        expect(breaker.isAdmitted("r", 2000, () => 0.99)).to.equal(false);
        expect(breaker.isAdmitted("r", 4000, () => 0.99)).to.equal(true);
    });
});

describe("retry-after", () => {
    it("spreads callers refused under overload within the time that they honour", () => {
        const waits = Array.from(
            { length: 50 },
            (_, index) =>
                retryAfterMs(
                    "overload",
                    { leftMs: 600, slackMs: 0, overloadMs: 9000 },
                    () => index / 50,
                ),
        );
        expect(Math.max(...waits)).to.be.at.most(200);
        expect(Math.max(...waits) - Math.min(...waits)).to.be.greaterThan(80);
    });

    it("brings callers back while the mean answer is within the latency objective in a lasting overload", () => {
        const patience = { leftMs: 6000, slackMs: 700, overloadMs: 9000 };
        for (let index = 0; index < 50; index++) {
            expect(retryAfterMs("overload", patience, () => index / 50)).to.be.within(100, 700);
        }
    });

    it("brings callers back late at the beginning of an overload, when it may have passed", () => {
        const patience = { leftMs: 6000, slackMs: 700, overloadMs: 1000 };
        for (let index = 0; index < 50; index++) {
            expect(retryAfterMs("overload", patience, () => index / 50)).to.be.within(600, 1500);
        }
    });
});

describe("overload of a route", () => {
    it("lasts from its first refusal until there is none for a while", () => {
        const spans = new OverloadSpans();
        expect(spans.note("r", 1000)).to.equal(0);
        expect(spans.note("other", 1300)).to.equal(0);
        expect(spans.note("r", 1400)).to.equal(400);
        expect(spans.note("r", 1800)).to.equal(800);
        expect(spans.note("r", 2400)).to.equal(0);
    });
});

describe("routes", () => {
    it("match the longest prefix of the host", () => {
        const short = makeRoute({ name: "short", pathPrefix: "/a/" });
        const long = makeRoute({ name: "long", pathPrefix: "/a/b/" });
        const config = makeConfig({ hosts: new Map([["h", [long, short]]]) });
        expect(findRoute(config, "h", "/a/b/c?x=/y/")!.name).to.equal("long");
        expect(findRoute(config, "h", "/a/x")!.name).to.equal("short");
        expect(findRoute(config, "h", "/a")).to.equal(undefined);
        expect(findRoute(config, "other", "/a/b/c")).to.equal(undefined);
    });

    it("split by weight in every run of requests", () => {
        const route = makeRoute({ services: [{ service: "a", weight: 90 }, { service: "b", weight: 10 }] });
        const chooser = new SplitChooser();
        const chosen = Array.from({ length: 200 }, () => chooser.choose(route));
        expect(chosen.filter(service => service === "b").length).to.be.within(18, 22);
        expect(chosen.slice(50, 100).filter(service => service === "b").length).to.be.within(4, 6);
    });
});
