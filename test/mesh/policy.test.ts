/** Unit tests of the data plane's policies: load balancing, levels, queueing, retries, circuit breaker and routes. */
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
        isSelf: false,
        isInLocalDataCentre: false,
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
        refusedAttempts: 1,
        maxAttempts: 2,
        leftMs: 500,
        isOverloaded: false,
        ...fields,
    };
}

const report = { cutoff: MAX_LEVEL, running: 0, queued: 0, limit: 20, serviceMs: 40, configVersion: 1 };

describe("load balancer", () => {
    it("prefers the local data centre while it is not much slower", () => {
        const candidates = [makeCandidate(), makeCandidate({ isInLocalDataCentre: true, inFlight: 10 })];
        for (let draw = 0; draw < 20; draw++) {
            expect(chooseTarget(candidates, 0, () => draw / 20)).to.equal(1);
        }
    });

    it("chooses from all data centres when the local one is nearly full", () => {
        const nearlyFull = makeCandidate({ isInLocalDataCentre: true, report: { ...report, running: 19 } });
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

    it("chooses the local one of equally saturated data centres, but not a more heavily loaded one", () => {
        const saturatedReport = { ...report, running: 20, queued: 4 };
        const local = makeCandidate({ isInLocalDataCentre: true, report: saturatedReport });
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

    it("does not choose a target in the local data centre that is full or slow", () => {
        const full = makeCandidate({ isInLocalDataCentre: true, inFlight: 40 });
        const slow = makeCandidate({ isInLocalDataCentre: true, report: { ...report, serviceMs: 400 } });
        for (const local of [full, slow]) {
            const remotes = [makeCandidate({ report }), makeCandidate({ report })];
            for (let draw = 0; draw < 20; draw++) {
                expect(chooseTarget([local, ...remotes], 0, () => draw / 20)).to.not.equal(0);
            }
        }
    });

    it("avoids a target that has just failed unless there is no other", () => {
        const failed = makeCandidate({ isInLocalDataCentre: true, avoidUntil: 100 });
        expect(chooseTarget([failed, makeCandidate()], 50, () => 0)).to.equal(1);
        expect(chooseTarget([failed], 50, () => 0)).to.equal(0);
        expect(chooseTarget([], 50, () => 0)).to.equal(-1);
    });
});

describe("admission level", () => {
    it("orders requests by priority first", () => {
        for (const id of ["a", "b", "0123456789abcdef"]) {
            expect(levelOf(0, id)).to.be.lessThan(LEVELS_PER_PRIORITY);
            expect(levelOf(1, id)).to.be.within(LEVELS_PER_PRIORITY, 2 * LEVELS_PER_PRIORITY - 1);
            expect(levelOf(99, id)).to.be.at.most(MAX_LEVEL);
        }
    });

    it("distributes request ids evenly over the levels of a priority", () => {
        const counts = new Array<number>(LEVELS_PER_PRIORITY).fill(0);
        for (let index = 0; index < 12_800; index++) counts[levelOf(0, `id-${index}`)]! += 1;
        expect(Math.max(...counts)).to.be.lessThan(200);
        expect(Math.min(...counts)).to.be.greaterThan(40);
    });
});

describe("priority queue", () => {
    it("returns the most important request first and passes expired requests to the callback", () => {
        const queue = new PriorityQueue<{ level: number; expiresAt: number; }>();
        const [lessImportant, moreImportant, expiring] = [
            { level: 2 * LEVELS_PER_PRIORITY, expiresAt: 100 },
            { level: 3, expiresAt: 100 },
            { level: 5, expiresAt: 10 },
        ];
        for (const item of [lessImportant, expiring, moreImportant]) queue.push(item);
        expect(queue.countAhead(LEVELS_PER_PRIORITY)).to.equal(2);
        const expiredItems: unknown[] = [];
        expect(queue.shift(50, item => expiredItems.push(item))).to.equal(moreImportant);
        expect(expiredItems).to.deep.equal([expiring]);
        expect(queue.remove(lessImportant)).to.equal(true);
        expect(queue.length).to.equal(0);
    });
});

describe("retry budget", () => {
    it("limits the retries of all nodes together in every window", () => {
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

    it("has a separate budget for each service", () => {
        const budget = new RetryBudget({ ratio: 0.2, slack: 10, windowMs: 10_000 });
        const [a, b] = [{ service: "a", attempts: 1 }, { service: "b", attempts: 1 }];
        while (budget.trySpend([a], 0)) { /* spends the whole budget */ }
        expect(budget.trySpend([b], 0)).to.equal(true);
    });

    it("charges the calls of a retried request to its dependencies, all of them or none", () => {
        const budget = new RetryBudget({ ratio: 0.2, slack: 10, windowMs: 10_000 });
        for (let index = 0; index < 1000; index++) budget.recordRequest("top", 0);
        let retryCount = 0;
        const measured = { dependencies: ["dependency"], callsBelow: new Map([["dependency", 2.5]]) };
        while (budget.trySpend(retryCharges("top", { ...measured, mayHaveRun: true }), 0)) retryCount++;
        // The dependency has no client requests, so its budget is 0.7 of the slack of 10; a retry costs 3 calls.
        expect(retryCount).to.equal(2);
        expect(budget.trySpend(retryCharges("top", { ...measured, mayHaveRun: false }), 0)).to.equal(true);
        const unmeasured = { dependencies: ["dependency"], callsBelow: new Map(), mayHaveRun: true };
        expect(retryCharges("top", unmeasured)[1]).to.deep.equal({ service: "dependency", attempts: 4 });
    });
});

describe("retry decision", () => {
    it("limits the number of transparent retries after refusals by nodes", () => {
        expect(decideRetry(makeRetryState())).to.deep.equal({ kind: "transparent-retry" });
        expect(decideRetry(makeRetryState({ refusedAttempts: 4 }))).to.deep.equal({ kind: "stop" });
    });

    it("retries a non-idempotent request only if it has not run", () => {
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

    it("retries an idempotent request after a lost response while attempts and time remain", () => {
        const outcome = { kind: "unknown", reason: "connection-lost" } as const;
        const lost = makeRetryState({ outcome, isIdempotent: true, attempts: 1 });
        expect(decideRetry(lost).kind).to.equal("retry");
        expect(decideRetry({ ...lost, attempts: 2 }).kind).to.equal("stop");
        expect(decideRetry({ ...lost, leftMs: 5 }).kind).to.equal("stop");
    });

    it("does not retry a failed request while the service or a dependency is overloaded", () => {
        const failure = { kind: "answer", status: 500, headers: "", body: Buffer.alloc(0) } as const;
        const failed = makeRetryState({ outcome: failure, isIdempotent: true, attempts: 1 });
        expect(decideRetry(failed).kind).to.equal("retry");
        expect(decideRetry({ ...failed, isOverloaded: true }).kind).to.equal("stop");
    });
});

describe("route circuit breaker", () => {
    const recordResponses = (
        breaker: RouteCircuitBreaker,
        count: number,
        { from, failureRate }: { from: number; failureRate: number; },
    ) => {
        for (let index = 0; index < count; index++) {
            breaker.recordOutcome("r", (index * 7 % 100) / 100 < failureRate, from + index * 10);
        }
    };

    it("refuses most requests while nearly all fail and admits them again once they succeed", () => {
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

    it("stays closed while some requests of the route succeed", () => {
        const breaker = new RouteCircuitBreaker();
        recordResponses(breaker, 300, { from: 0, failureRate: 0.9 });
        expect(breaker.isAdmitted("r", 3000, () => 0.99)).to.equal(true);
    });

    it("closes after a time without responses", () => {
        const breaker = new RouteCircuitBreaker();
        recordResponses(breaker, 200, { from: 0, failureRate: 1 });
        expect(breaker.isAdmitted("r", 2000, () => 0.99)).to.equal(false);
        expect(breaker.isAdmitted("r", 4000, () => 0.99)).to.equal(true);
    });
});

describe("routes", () => {
    it("are chosen by the longest matching path prefix of the host", () => {
        const short = makeRoute({ name: "short", pathPrefix: "/a/" });
        const long = makeRoute({ name: "long", pathPrefix: "/a/b/" });
        const config = makeConfig({ routesByHost: new Map([["h", [long, short]]]) });
        expect(findRoute(config, "h", "/a/b/c?x=/y/")!.name).to.equal("long");
        expect(findRoute(config, "h", "/a/x")!.name).to.equal("short");
        expect(findRoute(config, "h", "/a")).to.equal(undefined);
        expect(findRoute(config, "other", "/a/b/c")).to.equal(undefined);
    });

    it("split traffic by weight even in a short sequence of requests", () => {
        const route = makeRoute({ services: [{ service: "a", weight: 90 }, { service: "b", weight: 10 }] });
        const splitter = new TrafficSplitter();
        const chosen = Array.from({ length: 200 }, () => splitter.chooseService(route));
        expect(chosen.filter(service => service === "b").length).to.be.within(18, 22);
        expect(chosen.slice(50, 100).filter(service => service === "b").length).to.be.within(4, 6);
    });
});
