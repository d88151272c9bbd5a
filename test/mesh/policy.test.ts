/** Decisions of the data plane, without a network. */
import { expect } from "chai";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { levelOf, LEVELS_PER_PRIORITY, MAX_LEVEL } from "../../src/policy/admissionLevel.ts";
import type { Candidate } from "../../src/policy/loadBalancer.ts";
import { chooseTarget } from "../../src/policy/loadBalancer.ts";
import { PriorityQueue } from "../../src/policy/priorityQueue.ts";
import { RetryBudget } from "../../src/policy/retryBudget.ts";
import { decideRetry, retryCharges } from "../../src/policy/retryDecision.ts";
import type { RetryState } from "../../src/policy/retryDecision.ts";
import { RouteCircuitBreaker } from "../../src/policy/routeCircuitBreaker.ts";
import { findRoute, TrafficSplitter } from "../../src/policy/routeTable.ts";
import { makeConfig, makeRoute } from "../support/meshFixtures.ts";

function createRandom(): () => number {
    const generator = xoroshiro128plus(7);
    return () => uniformInt(generator, 0, 0xffff) / 0x10000;
}

function makeCandidate(fields: Partial<Candidate> = {}): Candidate {
    return {
        isLocalHost: false,
        isLocalDataCentre: false,
        inFlight: 0,
        inFlightAtReport: 0,
        slots: 20,
        report: undefined,
        reportedAt: 0,
        avoidUntil: 0,
        ...fields,
    };
}

function makeRetryState(fields: Partial<RetryState> = {}): RetryState {
    return {
        outcome: { kind: "not-run", reason: "draining" },
        isIdempotent: false,
        attempts: 0,
        transparentRetries: 1,
        maxAttempts: 2,
        leftMs: 500,
        isOverloaded: false,
        ...fields,
    };
}

const report = { cutoff: MAX_LEVEL, running: 0, queued: 0, limit: 20, serviceMs: 40, configVersion: 1 };

describe("choice of a target", () => {
    it("keeps to the own data centre while it is not much slower", () => {
        const candidates = [makeCandidate(), makeCandidate({ isLocalDataCentre: true, inFlight: 10 })];
        for (let draw = 0; draw < 20; draw++) {
            expect(chooseTarget(candidates, 0, () => draw / 20)).to.equal(1);
        }
    });

    it("goes elsewhere before the own data centre is full", () => {
        const nearlyFull = makeCandidate({ isLocalDataCentre: true, report: { ...report, running: 19 } });
        const slowerRemote = makeCandidate({ report: { ...report, serviceMs: 60 } });
        for (let draw = 0; draw < 20; draw++) {
            expect(chooseTarget([nearlyFull, slowerRemote, slowerRemote], 0, () => draw / 20)).to.not.equal(
                -1,
            );
        }
        const chosen = Array.from(
            { length: 100 },
            (_, draw) => chooseTarget([nearlyFull, slowerRemote], 0, () => draw / 100),
        );
        expect(chosen).to.include(1);
    });

    it("keeps filled targets from exchanging requests between data centres", () => {
        const saturatedReport = { ...report, running: 20, queued: 4 };
        const local = makeCandidate({ isLocalDataCentre: true, report: saturatedReport });
        const remotes = [
            makeCandidate({ report: saturatedReport }),
            makeCandidate({ report: saturatedReport }),
        ];
        const rand = createRandom();
        const chosen = Array.from({ length: 300 }, () => chooseTarget([local, ...remotes], 0, rand));
        expect(chosen.filter(index => index === 0).length).to.equal(300);
        const moreLoadedLocal = { ...local, report: { ...report, running: 20, queued: 20 } };
        const chosenWhenMoreLoaded = Array.from(
            { length: 300 },
            () => chooseTarget([moreLoadedLocal, ...remotes], 0, rand),
        );
        expect(chosenWhenMoreLoaded.filter(index => index !== 0).length).to.equal(300);
    });

    it("leaves the own data centre when its targets are full or slow", () => {
        const full = makeCandidate({ isLocalDataCentre: true, inFlight: 40 });
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
            expect(levelOf(0, id)).to.be.lessThan(LEVELS_PER_PRIORITY);
            expect(levelOf(1, id)).to.be.within(LEVELS_PER_PRIORITY, 2 * LEVELS_PER_PRIORITY - 1);
            expect(levelOf(99, id)).to.be.at.most(MAX_LEVEL);
        }
    });

    it("spreads ids over the buckets", () => {
        const counts = new Array<number>(LEVELS_PER_PRIORITY).fill(0);
        for (let index = 0; index < 12_800; index++) counts[levelOf(0, `id-${index}`)]! += 1;
        expect(Math.max(...counts)).to.be.lessThan(200);
        expect(Math.min(...counts)).to.be.greaterThan(40);
    });
});

describe("queue for slots", () => {
    it("serves the most important first, and hands out what has expired", () => {
        const queue = new PriorityQueue<{ level: number; expiresAt: number; }>();
        const [low, high, expiring] = [
            { level: 2 * LEVELS_PER_PRIORITY, expiresAt: 100 },
            { level: 3, expiresAt: 100 },
            { level: 5, expiresAt: 10 },
        ];
        for (const item of [low, expiring, high]) queue.push(item);
        expect(queue.countAhead(LEVELS_PER_PRIORITY)).to.equal(2);
        const expiredItems: unknown[] = [];
        expect(queue.shift(50, item => expiredItems.push(item))).to.equal(high);
        expect(expiredItems).to.deep.equal([expiring]);
        expect(queue.remove(low)).to.equal(true);
        expect(queue.length).to.equal(0);
    });
});

describe("budget of repeats", () => {
    it("keeps the sum of all nodes below the bound in every window", () => {
        const [ratio, slack, windowMs, nodes] = [0.2, 48, 10_000, 17];
        const budgets = Array.from({ length: nodes }, () => new RetryBudget({ ratio, slack, windowMs }));
        for (const budget of budgets) budget.setNodeCount(nodes);
        const retryTimes: number[] = [];
        for (let now = 0; now < 40_000; now += 50) {
            for (const budget of budgets) {
                budget.recordRequest("s", now);
                while (budget.trySpend([{ service: "s", attempts: 1 }], now)) retryTimes.push(now);
            }
        }
        const requestsPerWindow = windowMs / 50 * nodes;
        for (let from = 0; from < 30_000; from += 500) {
            const inWindow = retryTimes.filter(at => at >= from && at < from + windowMs).length;
            expect(inWindow).to.be.at.most(ratio * requestsPerWindow + slack);
        }
    });

    it("keeps services apart", () => {
        const budget = new RetryBudget({ ratio: 0.2, slack: 10, windowMs: 10_000 });
        const [a, b] = [{ service: "a", attempts: 1 }, { service: "b", attempts: 1 }];
        while (budget.trySpend([a], 0)) { /* spends all */ }
        expect(budget.trySpend([b], 0)).to.equal(true);
    });

    it("counts the calls of a repeated run at the services below, all or nothing", () => {
        const budget = new RetryBudget({ ratio: 0.2, slack: 10, windowMs: 10_000 });
        for (let index = 0; index < 1000; index++) budget.recordRequest("top", 0);
        let retryCount = 0;
        while (budget.trySpend(retryCharges("top", ["below"], true), 0)) retryCount++;
        // "below" has no requests of clients, so only 0.7 of the slack of 10 is there for 4 calls a run.
        expect(retryCount).to.equal(1);
        expect(budget.trySpend(retryCharges("top", ["below"], false), 0)).to.equal(true);
    });
});

describe("another send", () => {
    it("follows a refusal by a node for free, a few times", () => {
        expect(decideRetry(makeRetryState())).to.deep.equal({ kind: "transparent-retry" });
        expect(decideRetry(makeRetryState({ transparentRetries: 4 }))).to.deep.equal({ kind: "stop" });
    });

    it("repeats a request that must not run twice only when it has not run", () => {
        const outcome = { kind: "unknown", reason: "link-lost" } as const;
        expect(decideRetry(makeRetryState({ outcome, attempts: 1 }))).to.deep.equal({ kind: "stop" });
        const shed = { kind: "not-run", reason: "target-shed" } as const;
        expect(decideRetry(makeRetryState({ outcome: shed, attempts: 1 }))).to.deep.equal({
            kind: "retry",
            mayHaveRun: false,
        });
        const failure = { kind: "answer", status: 500, headers: "", body: Buffer.alloc(0) } as const;
        expect(decideRetry(makeRetryState({ outcome: failure, attempts: 1 }))).to.deep.equal({
            kind: "stop",
        });
    });

    it("repeats an idempotent request after a lost answer, within its attempts and time", () => {
        const outcome = { kind: "unknown", reason: "connection-lost" } as const;
        const lost = makeRetryState({ outcome, isIdempotent: true, attempts: 1 });
        expect(decideRetry(lost).kind).to.equal("retry");
        expect(decideRetry({ ...lost, attempts: 2 }).kind).to.equal("stop");
        expect(decideRetry({ ...lost, leftMs: 5 }).kind).to.equal("stop");
    });

    it("does not repeat failures while services below are short of capacity", () => {
        const failure = { kind: "answer", status: 500, headers: "", body: Buffer.alloc(0) } as const;
        const failed = makeRetryState({ outcome: failure, isIdempotent: true, attempts: 1 });
        expect(decideRetry(failed).kind).to.equal("retry");
        expect(decideRetry({ ...failed, isOverloaded: true }).kind).to.equal("stop");
    });
});

describe("breaker of a route", () => {
    const recordResponses = (
        breaker: RouteCircuitBreaker,
        count: number,
        { from, failureRate }: { from: number; failureRate: number; },
    ) => {
        for (let index = 0; index < count; index++) {
            breaker.recordOutcome("r", (index * 7 % 100) / 100 < failureRate, from + index * 10);
        }
    };

    it("refuses most requests while nearly all fail, and lets them pass again once they succeed", () => {
        const breaker = new RouteCircuitBreaker();
        recordResponses(breaker, 300, { from: 0, failureRate: 1 });
        const admitted = Array.from(
            { length: 100 },
            (_, index) => breaker.isAdmitted("r", 3000, () => index / 100),
        );
        expect(admitted.filter(isAdmitted => isAdmitted).length).to.be.within(5, 20);
        recordResponses(breaker, 60, { from: 3100, failureRate: 0 });
        expect(breaker.isAdmitted("r", 3700, () => 0.99)).to.equal(true);
    });

    it("leaves a route alone of which a part succeeds", () => {
        const breaker = new RouteCircuitBreaker();
        recordResponses(breaker, 300, { from: 0, failureRate: 0.9 });
        expect(breaker.isAdmitted("r", 3000, () => 0.99)).to.equal(true);
    });

    it("lets requests pass when it has heard nothing for a while", () => {
        const breaker = new RouteCircuitBreaker();
        recordResponses(breaker, 200, { from: 0, failureRate: 1 });
        expect(breaker.isAdmitted("r", 2000, () => 0.99)).to.equal(false);
        expect(breaker.isAdmitted("r", 4000, () => 0.99)).to.equal(true);
    });
});

describe("routes", () => {
    it("match the longest prefix of the host", () => {
        const short = makeRoute({ name: "short", pathPrefix: "/a/" });
        const long = makeRoute({ name: "long", pathPrefix: "/a/b/" });
        const config = makeConfig({ routesByHost: new Map([["h", [long, short]]]) });
        expect(findRoute(config, "h", "/a/b/c?x=/y/")!.name).to.equal("long");
        expect(findRoute(config, "h", "/a/x")!.name).to.equal("short");
        expect(findRoute(config, "h", "/a")).to.equal(undefined);
        expect(findRoute(config, "other", "/a/b/c")).to.equal(undefined);
    });

    it("split by weight in every run of requests", () => {
        const route = makeRoute({ services: [{ service: "a", weight: 90 }, { service: "b", weight: 10 }] });
        const splitter = new TrafficSplitter();
        const chosen = Array.from({ length: 200 }, () => splitter.chooseService(route));
        expect(chosen.filter(service => service === "b").length).to.be.within(18, 22);
        expect(chosen.slice(50, 100).filter(service => service === "b").length).to.be.within(4, 6);
    });
});
