/** The decisions of the quotas: no account may exceed its bound in any window, and accounts get what they are owed. */
import { expect } from "chai";
import * as fc from "fast-check";
import { QuotaPool } from "../../src/policy/quotaPool.ts";
import { PoolNodeChooser } from "../../src/policy/quotaPoolNodes.ts";
import { QuotaShare } from "../../src/policy/quotaShare.ts";
import { quotaLimitOf, QuotaTable, TAKE_BACK_MS, TOKEN_LIFETIME_MS } from "../../src/policy/quotaTypes.ts";
import type { QuotaAccount, QuotaBounds } from "../../src/policy/quotaTypes.ts";
import { CONFIG_DELAY_MS, QuotaSimulation } from "../support/quotaSimulation.ts";
import type { Demand, Fault, SimulationOptions } from "../support/quotaSimulation.ts";

const SEED = 20_261_207;
const RUNS = 400;
const NODES = 6;
const DURATION_MS = 16_000;
const ROUNDING = 1e-6;
/** With these, the bound is the quota itself, so nothing hides tokens that are used twice. */
const STRICT: QuotaBounds = { windowMs: 5000, overage: 0, slack: 0 };
const USUAL: QuotaBounds = { windowMs: 5000, overage: 0.1, slack: 20 };

const account = (name: string, ratePerS: number, burst: number): QuotaAccount => ({ name, ratePerS, burst });

const someNodes = fc.uniqueArray(fc.nat(NODES - 1), { minLength: 1, maxLength: NODES - 1 });
const time = fc.integer({ min: 0, max: DURATION_MS });
const accounts = fc.tuple(fc.integer({ min: 2, max: 120 }), fc.integer({ min: 0, max: 120 }))
    .map(([rate, burst]) => [account("a", rate, burst), account("b", 40, 40)]);
const demand: fc.Arbitrary<Demand> = fc.record({
    account: fc.constantFrom("a", "b"),
    nodes: someNodes,
    ratePerS: fc.constantFrom(5, 60, 400),
    from: time,
    until: time,
});
const lasting = fc.tuple(time, fc.integer({ min: 200, max: 8000 }));
const fault: fc.Arbitrary<Fault> = fc.oneof(
    fc.tuple(lasting, someNodes)
        .map(([[at, ms], nodes]): Fault => ({ type: "cut", at, until: at + ms, nodes })),
    fc.tuple(lasting, fc.nat(NODES - 1))
        .map(([[at, ms], node]): Fault => ({ type: "pause", at, until: at + ms, node })),
    fc.tuple(time, fc.oneof(someNodes, fc.constant([...Array(NODES).keys()])))
        .map(([at, nodes]): Fault => ({ type: "restart", at, nodes })),
    fc.tuple(time, accounts).map(([at, changed]): Fault => ({ type: "accounts", at, accounts: changed })),
);
const schedule: fc.Arbitrary<SimulationOptions> = fc.record({
    nodeCount: fc.constant(NODES),
    poolCount: fc.constantFrom(1, 2),
    accounts,
    bounds: fc.constantFrom(STRICT, USUAL),
    demands: fc.array(demand, { minLength: 1, maxLength: 6 }),
    faults: fc.array(fault, { maxLength: 6 }),
    durationMs: fc.constant(DURATION_MS),
    seed: fc.nat(),
    lossRate: fc.constantFrom(0, 0.05),
    refusedRate: fc.constantFrom(0, 0.4),
});

/** Quotas of an account, each with the time from which no higher one allows more. */
function quotasOf(name: string, { accounts, faults = [] }: SimulationOptions) {
    const changes = faults.filter(({ type }) => type === "accounts").sort((x, y) => x.at - y.at);
    const lists = [{ at: 0, accounts }, ...changes as { at: number; accounts: readonly QuotaAccount[]; }[]];
    return lists.map((list, index) => ({
        quota: list.accounts.find(other => other.name === name)!,
        from: list.at,
        until: (lists[index + 1]?.at ?? Infinity) + CONFIG_DELAY_MS + 500,
    }));
}

function findViolation(simulation: QuotaSimulation, options: SimulationOptions): string | undefined {
    const { windowMs, overage, slack } = options.bounds;
    for (const [name, times] of simulation.ran) {
        const quotas = quotasOf(name, options);
        for (let first = 0, next = 0; first < times.length; first++) {
            const start = times[first]!;
            while (next < times.length && times[next]! - start < windowMs) next++;
            const inForce = quotas.filter(({ from, until }) => from < start + windowMs && start < until);
            const rate = Math.max(...inForce.map(({ quota }) => quota.ratePerS));
            const burst = Math.max(...inForce.map(({ quota }) => quota.burst));
            const allowed = (rate * windowMs / 1000 + burst) * (1 + overage) + slack;
            if (next - first > allowed) return `${name} at ${start}: ${next - first} > ${allowed}`;
        }
    }
    return undefined;
}

function simulate(options: SimulationOptions): QuotaSimulation {
    const simulation = new QuotaSimulation(options);
    simulation.run();
    return simulation;
}

/** Requests that a single token bucket for all nodes would have admitted. */
function owedOf({ name, ratePerS, burst }: QuotaAccount, { arrived }: QuotaSimulation): number {
    let tokens = burst;
    let last = 0;
    let owed = 0;
    for (const at of arrived.get(name) ?? []) {
        tokens = Math.min(burst, tokens + (at - last) * ratePerS / 1000);
        last = at;
        if (tokens < 1) continue;
        tokens--;
        owed++;
    }
    return owed;
}

describe("quotas of client accounts", () => {
    // Guards against tokens that two pool nodes give out for the same share, or that are used after they expired.
    it("stay within the bound in every window, whatever fails", () => {
        fc.assert(
            fc.property(schedule, options => {
                const simulation = simulate(options);
                expect(findViolation(simulation, options)).to.equal(undefined);
                expect(simulation.maxDelegatedShare).to.be.at.most(1 + ROUNDING);
                if (options.faults?.some(({ type }) => type === "accounts") === true) return;
                const limits = options.accounts.map(quota => quotaLimitOf(quota, options.bounds));
                const capacity = limits.reduce(
                    (sum, limit) => sum + limit.capacity + limit.isolatedTokens,
                    0,
                );
                expect(simulation.maxTokens).to.be.at.most(capacity + ROUNDING);
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });

    describe("without faults at 65 nodes", () => {
        const allNodes = [...Array(65).keys()];
        const from = 5000;
        const until = 35_000;
        const big = account("big", 100, 50);
        const small = account("small", 3.2, 5);
        const flood = account("flood", 50, 25);

        // Guards against shares that stay at nodes without traffic.
        it("serve an account at 3 nodes, small accounts, and one far above its quota", () => {
            const simulation = simulate({
                nodeCount: 65,
                accounts: [big, small, flood],
                bounds: USUAL,
                durationMs: until,
                seed: SEED,
                demands: [
                    { account: "big", nodes: [3, 30, 50], ratePerS: 95, from, until },
                    { account: "small", nodes: [7, 20], ratePerS: 2, from, until: 20_000 },
                    { account: "small", nodes: allNodes, ratePerS: 2, from: 20_000, until },
                    { account: "flood", nodes: allNodes, ratePerS: 400, from, until },
                ],
            });
            for (const quota of [big, small, flood]) {
                const served = simulation.ran.get(quota.name)!.length;
                expect(served / owedOf(quota, simulation), quota.name).to.be.at.least(0.95);
            }
            // Guards against a cost that grows with the demand: 65 nodes, 35 s.
            expect(simulation.reportCount / 65 / 35).to.be.at.most(6);
        });
    });

    // Guards against a handed-out capacity and rate that exceed the bound together.
    it("hand out at most what the bound allows", () => {
        const values = fc.tuple(fc.integer({ min: 1, max: 1e4 }), fc.integer({ min: 1, max: 1e4 }));
        fc.assert(
            fc.property(values, fc.constantFrom(STRICT, USUAL), ([rate, burst], bounds) => {
                const { tokensPerMs, capacity, isolatedTokens } = quotaLimitOf(
                    account("a", rate, burst),
                    bounds,
                );
                const { windowMs, overage, slack } = bounds;
                expect(tokensPerMs * windowMs + capacity + isolatedTokens).to.be.at.most(
                    (rate * windowMs / 1000 + burst) * (1 + overage) + slack + ROUNDING,
                );
            }),
            { seed: SEED },
        );
    });
});

describe("a node's share of a quota pool", () => {
    const table = new QuotaTable(1, [account("a", 100, 100)], STRICT);
    const twoNodes = { nodeCount: 2, rank: 0 };

    function makePool(process = 1): QuotaPool {
        return new QuotaPool({ poolCount: 1, poolIndex: 0, process, table, now: 0 });
    }

    function makeShare(node: string): QuotaShare {
        const share = new QuotaShare({ node, process: 1, poolCount: 1, poolIndex: 0, table, freeAt: 0 });
        share.setNodeCount(2);
        share.setPoolNode("pool", 0);
        return share;
    }

    /** Sends a report and its response; returns whether the report delegates the share. */
    function exchange(share: QuotaShare, pool: QuotaPool, now: number, waiting = 0): boolean {
        if (waiting > 0) share.setWaiting("a", waiting);
        const sent = share.createReport(now);
        share.setWaiting("a", 0);
        share.onResponse(sent, pool.onReport(sent.report, twoNodes, now)!, now);
        return sent.report.isDelegating;
    }

    /** When the last response in `makeFullPool` arrives. */
    const ECHO_RECEIVED_AT = 1601;

    /** Two nodes that have delegated their shares, and a full pool. */
    function makeFullPool() {
        const pool = makePool();
        const shares = [makeShare("n1"), makeShare("n2")] as const;
        for (let now = 1; now < 2000; now += 400) for (const share of shares) exchange(share, pool, now);
        return { pool, shares };
    }

    // Guards against tokens that are still used when the pool node has already given them to others.
    it("has no tokens after their lifetime", () => {
        const { pool, shares: [share] } = makeFullPool();
        exchange(share, pool, 2000, 10);
        expect(share.acquire("a", 2000 + TOKEN_LIFETIME_MS - 1)).to.equal("admitted");
        expect(share.acquire("a", 2000 + TOKEN_LIFETIME_MS)).to.not.equal("admitted");
    });

    // Guards against tokens that are kept from a share that has been taken back, and is used elsewhere.
    it("loses tokens when the shares behind them are taken back", () => {
        const { pool, shares: [share] } = makeFullPool();
        exchange(share, pool, 2000, 80);
        expect(share.tokensHeld(2000)).to.equal(80);
        const { report } = share.createReport(2400);
        const response = pool.onReport({ ...report, entries: [[0, 70, 0, 0, 100]] }, twoNodes, 2400)!;
        expect(pool.delegatedShareAt(2400)).to.equal(0.5);
        expect(response.entries[0]![1]).to.equal(-20);
    });

    // Guards against tokens that are counted as used because an older report says so.
    it("is not changed by a report that arrives after a later one", () => {
        const { pool, shares: [share] } = makeFullPool();
        const early = share.createReport(2000);
        const later = share.createReport(2600);
        expect(pool.onReport(later.report, twoNodes, 2610)).to.not.equal(undefined);
        expect(pool.onReport(early.report, twoNodes, 2620)).to.equal(undefined);
    });

    // Guards against a pool that regains in an instant what it had kept for a share that was away meanwhile.
    for (const way of ["expired", "withdrawn"] as const) {
        it(`starts again without tokens after it was ${way}`, () => {
            const { pool, shares: [share, other] } = makeFullPool();
            const withdrawal = way === "withdrawn" ? other.setPoolNode("elsewhere", 2000) : undefined;
            if (withdrawal !== undefined) pool.onReport(withdrawal.report, twoNodes, 2000);
            const returnAt = way === "withdrawn" ? 2001 : 2801;
            for (let now = 2000; now < returnAt; now += 400) exchange(share, pool, now);
            const returned = makeShare("n2");
            exchange(returned, pool, returnAt);
            exchange(returned, pool, returnAt + 1);
            expect(pool.delegatedShareAt(returnAt + 1)).to.equal(1);
            exchange(share, pool, returnAt + 2, 100);
            expect(share.tokensHeld(returnAt + 2)).to.be.at.most(51);
        });
    }

    // Guards against a share that two pool nodes use at the same time.
    it("is delegated to another pool node only after the tokens of the first one have expired", () => {
        for (const isConfirmed of [true, false]) {
            const { pool, shares: [share] } = makeFullPool();
            exchange(share, pool, 2000);
            const withdrawal = share.setPoolNode("other", 2100)!;
            if (isConfirmed) {
                share.onResponse(withdrawal, pool.onReport(withdrawal.report, twoNodes, 2110)!, 2120);
            }
            const other = makePool();
            exchange(share, other, 2130);
            const freeAt = isConfirmed ? 2120 + TOKEN_LIFETIME_MS : ECHO_RECEIVED_AT + TAKE_BACK_MS;
            expect(exchange(share, other, freeAt - 1)).to.equal(false);
            expect(exchange(share, other, freeAt)).to.equal(true);
        }
    });

    it("is delegated to a new process of the pool node only after the time of the former one", () => {
        const { pool, shares: [share] } = makeFullPool();
        exchange(share, pool, 2000);
        const restarted = makePool(2);
        expect(exchange(share, restarted, 2100)).to.equal(true);
        expect(restarted.delegatedShareAt(2100)).to.equal(0);
        expect(exchange(share, restarted, 2000 + TAKE_BACK_MS - 1)).to.equal(false);
        expect(exchange(share, restarted, 2000 + TAKE_BACK_MS)).to.equal(true);
    });

    // Guards against shares that stay at a paused pool node, whose connections remain open, until the end of the pause.
    it("leaves a pool node that answers none of its reports", () => {
        const { pool, shares: [share] } = makeFullPool();
        exchange(share, pool, 2000);
        for (const now of [2250, 2750]) {
            expect(share.isPoolNodeSilent).to.equal(false);
            share.onNoResponse(share.createReport(now));
        }
        expect(share.isPoolNodeSilent).to.equal(true);
        const chooser = new PoolNodeChooser(1, 0);
        chooser.setNodes(["pool", "other"]);
        const state = { current: "pool", isLent: true, isUsable: () => true };
        expect(chooser.choose({ ...state, isSilent: true }, 3000)).to.equal("other");
        share.setPoolNode("other", 3000);
        expect(share.shareFreeAt()).to.equal(2000 + TAKE_BACK_MS);
    });

    // Guards against a burst of the former quota long after it was lowered.
    it("has fewer tokens after its quota was lowered", () => {
        const { pool, shares: [share] } = makeFullPool();
        exchange(share, pool, 2000, 80);
        const lower = new QuotaTable(2, [account("a", 10, 10)], STRICT);
        share.setTable(lower);
        pool.setTable(lower);
        expect(share.tokensHeld(2001)).to.equal(8);
        expect(pool.tokensKept(2001)).to.be.at.most(10);
    });
});
