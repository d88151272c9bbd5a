/**
 * Nodes with quota pools on simulated clocks and messages. Messages are delayed, lost or, if sent during a cut, delivered
 * when it ends. Each node has a clock of its own and notices late that another one is unreachable.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { QuotaPool } from "../../src/policy/quotaPool.ts";
import { PoolNodeChooser } from "../../src/policy/quotaPoolNodes.ts";
import { QuotaShare } from "../../src/policy/quotaShare.ts";
import type { SentReport } from "../../src/policy/quotaShare.ts";
import { QuotaTable, TAKE_BACK_MS } from "../../src/policy/quotaTypes.ts";
import type { QuotaAccount, QuotaBounds } from "../../src/policy/quotaTypes.ts";

export interface Demand {
    readonly account: string;
    readonly nodes: readonly number[];
    /** Requests per second, over all these nodes, at random times. */
    readonly ratePerS: number;
    readonly from: number;
    readonly until: number;
}

export type Fault =
    | {
        readonly type: "cut";
        readonly at: number;
        readonly until: number;
        readonly nodes: readonly number[];
    }
    | { readonly type: "pause"; readonly at: number; readonly until: number; readonly node: number; }
    | { readonly type: "restart"; readonly at: number; readonly nodes: readonly number[]; }
    | { readonly type: "accounts"; readonly at: number; readonly accounts: readonly QuotaAccount[]; };

export interface SimulationOptions {
    readonly nodeCount: number;
    readonly accounts: readonly QuotaAccount[];
    readonly bounds: QuotaBounds;
    readonly demands: readonly Demand[];
    readonly faults?: readonly Fault[];
    readonly durationMs: number;
    readonly seed: number;
    readonly lossRate?: number;
    /** Share of the admitted requests that are refused later without having run. */
    readonly refusedRate?: number;
    readonly poolCount?: number;
}

const STEP_MS = 5;
const CHECK_INTERVAL_MS = 25;
const MAX_WAIT_MS = 80;
const MAX_DELAY_MS = 25;
/** A configuration arrives at a node up to this late. */
export const CONFIG_DELAY_MS = 2000;

interface Waiting {
    readonly account: string;
    readonly until: number;
}

class SimulatedNode {
    share!: QuotaShare[];
    pools = new Map<number, QuotaPool>();
    chooser: PoolNodeChooser[] = [];
    waiting: Waiting[] = [];
    inbox: (() => void)[] = [];
    pausedUntil = 0;
    group = 0;
    process = 0;
    clockOffset = 0;
    checkedAt = -Infinity;
    constructor(readonly name: string, readonly rank: number, public table: QuotaTable) {}
}

export class QuotaSimulation {
    /** Times of the requests that ran, by account. */
    readonly ran = new Map<string, number[]>();
    /** Times of all requests, by account. */
    readonly arrived = new Map<string, number[]>();
    reportCount = 0;
    /** Largest sum of the shares by which all pool nodes together made tokens; 1 for all shares. */
    maxDelegatedShare = 0;
    /** Largest number of unused tokens of all accounts at all nodes together. */
    maxTokens = 0;
    private readonly nodes: SimulatedNode[];
    private readonly events = new Map<number, (() => void)[]>();
    private readonly poolCount: number;
    private readonly random: ReturnType<typeof xoroshiro128plus>;
    private now = 0;
    private version = 1;

    constructor(private readonly options: SimulationOptions) {
        this.random = xoroshiro128plus(options.seed);
        this.poolCount = options.poolCount ?? 1;
        const table = new QuotaTable(1, options.accounts, options.bounds);
        const names = Array.from({ length: options.nodeCount }, (_, i) => `n${String(i).padStart(3, "0")}`);
        this.nodes = names.map((name, i) => new SimulatedNode(name, i, table));
        for (const node of this.nodes) this.restart(node, names);
        for (const demand of options.demands) this.scheduleDemand(demand);
        for (const fault of options.faults ?? []) this.scheduleFault(fault, names);
    }

    run(): void {
        for (this.now = 0; this.now < this.options.durationMs; this.now += STEP_MS) {
            const due = this.events.get(this.now);
            this.events.delete(this.now);
            for (const event of due ?? []) event();
            for (const node of this.nodes) if (this.now >= node.pausedUntil) this.tick(node);
            if (this.now % CHECK_INTERVAL_MS === 0) this.checkSums();
        }
    }

    private checkSums(): void {
        let share = 0;
        let tokens = 0;
        for (const node of this.nodes) {
            const now = this.clock(node);
            for (const pool of node.pools.values()) {
                share += pool.delegatedShareAt(now);
                tokens += pool.tokensKept(now);
            }
            for (const own of node.share) tokens += own.tokensHeld(now);
        }
        this.maxDelegatedShare = Math.max(this.maxDelegatedShare, share / this.poolCount);
        this.maxTokens = Math.max(this.maxTokens, tokens);
    }

    private between(min: number, max: number): number {
        return min + uniformFloat64(this.random) * (max - min);
    }

    private at(time: number, event: () => void): void {
        const step = Math.max(this.now, Math.ceil(time / STEP_MS) * STEP_MS);
        const key = step === this.now ? step + STEP_MS : step;
        const events = this.events.get(key);
        if (events === undefined) this.events.set(key, [event]);
        else events.push(event);
    }

    private restart(node: SimulatedNode, names: readonly string[]): void {
        node.process++;
        node.clockOffset = this.between(-1e6, 1e6);
        node.pools.clear();
        node.waiting = [];
        node.inbox = [];
        const now = this.clock(node);
        node.share = Array.from(
            { length: this.poolCount },
            (_, poolIndex) =>
                new QuotaShare({
                    node: node.name,
                    process: node.process,
                    poolCount: this.poolCount,
                    poolIndex,
                    table: node.table,
                    freeAt: now + TAKE_BACK_MS,
                }),
        );
        for (const share of node.share) share.setNodeCount(this.nodes.length);
        node.chooser = node.share.map((_, poolIndex) => new PoolNodeChooser(this.poolCount, poolIndex));
        for (const chooser of node.chooser) chooser.setNodes(names);
    }

    private clock(node: SimulatedNode): number {
        return this.now + node.clockOffset;
    }

    private scheduleDemand({ account, nodes, ratePerS, from, until }: Demand): void {
        let time = from;
        const nextGap = () => -Math.log(1 - uniformFloat64(this.random)) * 1000 / ratePerS;
        for (time += nextGap(); time < until; time += nextGap()) {
            const node = this.nodes[nodes[Math.floor(this.between(0, nodes.length))]!]!;
            const arrivedAt = time;
            this.at(arrivedAt, () => {
                append(this.arrived, account, this.now);
                this.whenRunning(node, () => this.onRequest(node, account));
            });
        }
    }

    private scheduleFault(fault: Fault, names: readonly string[]): void {
        this.at(fault.at, () => {
            switch (fault.type) {
                case "cut":
                    for (const node of fault.nodes) this.nodes[node]!.group = 1;
                    this.at(fault.until, () => {
                        for (const node of fault.nodes) this.nodes[node]!.group = 0;
                    });
                    return;
                case "pause":
                    this.nodes[fault.node]!.pausedUntil = fault.until;
                    return;
                case "restart":
                    for (const node of fault.nodes) this.restart(this.nodes[node]!, names);
                    return;
                case "accounts": {
                    const table = new QuotaTable(++this.version, fault.accounts, this.options.bounds);
                    for (const node of this.nodes) {
                        this.at(this.now + this.between(0, CONFIG_DELAY_MS), () => {
                            if (node.table.version < table.version) this.applyTable(node, table);
                        });
                    }
                }
            }
        });
    }

    private applyTable(node: SimulatedNode, table: QuotaTable): void {
        node.table = table;
        for (const share of node.share) share.setTable(table);
        for (const pool of node.pools.values()) pool.setTable(table);
    }

    private whenRunning(node: SimulatedNode, event: () => void): void {
        if (this.now >= node.pausedUntil) event();
        else node.inbox.push(event);
    }

    private shareOf(node: SimulatedNode, account: string): QuotaShare | undefined {
        const limit = node.table.get(account);
        return limit === undefined ? undefined : node.share[limit.hash % this.poolCount];
    }

    private onRequest(node: SimulatedNode, account: string): void {
        const result = this.shareOf(node, account)?.acquire(account, this.clock(node));
        if (result === "admitted") this.onAdmitted(node, account);
        if (result !== "empty") return;
        node.waiting.push({ account, until: this.now + MAX_WAIT_MS });
        this.updateWaiting(node, account);
    }

    private updateWaiting(node: SimulatedNode, account: string): void {
        const count = node.waiting.filter(waiting => waiting.account === account).length;
        this.shareOf(node, account)?.setWaiting(account, count);
    }

    private onAdmitted(node: SimulatedNode, account: string): void {
        const admittedAt = this.now;
        if (uniformFloat64(this.random) >= (this.options.refusedRate ?? 0)) {
            append(this.ran, account, admittedAt);
            return;
        }
        const { process } = node;
        this.at(admittedAt + this.between(0, 600), () => {
            const giveBack = () => this.shareOf(node, account)?.giveBack(account, this.clock(node));
            if (node.process === process) this.whenRunning(node, giveBack);
        });
    }

    private tick(node: SimulatedNode): void {
        const { inbox } = node;
        node.inbox = [];
        for (const event of inbox) event();
        const now = this.clock(node);
        if (this.now >= node.checkedAt) {
            node.checkedAt = this.now + this.between(50, 800);
            this.choosePoolNodes(node, now);
        }
        for (const share of node.share) {
            if (share.isReportDue(now)) this.send(node, share, share.createReport(now));
        }
        if (node.waiting.length === 0) return;
        const expired = node.waiting.filter(waiting => waiting.until <= this.now);
        node.waiting = node.waiting.filter(waiting => waiting.until > this.now);
        for (const { account } of expired) this.updateWaiting(node, account);
    }

    private choosePoolNodes(node: SimulatedNode, now: number): void {
        for (const [index, share] of node.share.entries()) {
            const isUsable = (name: string) =>
                this.nodes.find(other => other.name === name)?.group === node.group;
            const { poolNode: current } = share;
            const isLent = share.isLent(now);
            const isSilent = share.isPoolNodeSilent && current !== node.name;
            const next = node.chooser[index]!.choose({ current, isLent, isSilent, isUsable }, now);
            if (next === undefined || next === current) continue;
            const withdrawal = share.setPoolNode(next, now);
            if (withdrawal !== undefined) this.send(node, share, withdrawal, current);
        }
    }

    private send(
        node: SimulatedNode,
        share: QuotaShare,
        sent: SentReport,
        poolNodeName = share.poolNode,
    ): void {
        this.reportCount++;
        const poolNode = this.nodes.find(other => other.name === poolNodeName)!;
        const { process } = node;
        this.deliver(node, poolNode, () => {
            const { poolIndex, poolCount } = sent.report;
            const now = this.clock(poolNode);
            let pool = poolNode.pools.get(poolIndex);
            if (pool === undefined) {
                const { table } = poolNode;
                pool = new QuotaPool({ poolCount, poolIndex, process: poolNode.process, table, now });
                poolNode.pools.set(poolIndex, pool);
            }
            const view = { nodeCount: this.nodes.length, rank: poolNode.rank };
            const response = pool.onReport(sent.report, view, now);
            if (response === undefined) return;
            this.deliver(poolNode, node, () => {
                if (node.process !== process) return;
                const receivedAt = this.clock(node);
                if (share.onResponse(sent, response, receivedAt)) this.drainWaiting(node);
            });
        });
    }

    private deliver(from: SimulatedNode, to: SimulatedNode, onArrival: () => void): void {
        if (from === to) {
            this.at(this.now + STEP_MS, onArrival);
            return;
        }
        const { process } = to;
        const arrive = () => {
            if (to.process !== process) return;
            // Bytes that were sent before or during a cut may arrive after it.
            if (from.group !== to.group) this.at(this.now + 200, arrive);
            else this.whenRunning(to, onArrival);
        };
        const isLost = uniformFloat64(this.random) < (this.options.lossRate ?? 0);
        if (isLost) return;
        const isStalled = uniformFloat64(this.random) < (this.options.lossRate ?? 0);
        this.at(this.now + this.between(1, isStalled ? 3000 : MAX_DELAY_MS), arrive);
    }

    private drainWaiting(node: SimulatedNode): void {
        const now = this.clock(node);
        const waiting = node.waiting;
        node.waiting = [];
        for (const request of waiting) {
            const result = this.shareOf(node, request.account)?.acquireWaiting(request.account, now);
            if (result === "admitted") this.onAdmitted(node, request.account);
            if (result === "empty") node.waiting.push(request);
        }
        for (const { account } of waiting) this.updateWaiting(node, account);
    }
}

function append(lists: Map<string, number[]>, key: string, value: number): void {
    const list = lists.get(key);
    if (list === undefined) lists.set(key, [value]);
    else list.push(value);
}
