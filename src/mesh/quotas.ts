/**
 * Quotas of client accounts over all nodes: sends the reports of this node's shares to the pool nodes, answers those of
 * other nodes, and holds requests that wait for a token. The decisions are in `src/policy/quotaShare.ts` and
 * `quotaPool.ts`. The timer fires when a report is due or a waiting request expires, since each wake-up of the process
 * costs processor time. While no account has a rate, nothing is sent and no timer runs.
 */
import { QuotaPool } from "../policy/quotaPool.ts";
import { PoolNodeChooser } from "../policy/quotaPoolNodes.ts";
import { QuotaShare } from "../policy/quotaShare.ts";
import type { SentReport } from "../policy/quotaShare.ts";
import { intervalScaleOf, poolCountOf, QuotaTable, TAKE_BACK_MS } from "../policy/quotaTypes.ts";
import type { QuotaBounds, QuotaReport, QuotaResponse } from "../policy/quotaTypes.ts";
import { steadyNow } from "./clock.ts";
import type { Counters } from "./counters.ts";
import { DueTimer } from "./dueTimer.ts";
import type { EventLog } from "./eventLog.ts";
import type { KnownNode, NodeDirectory } from "./nodeDirectory.ts";
import type { QuotaGate } from "./quotaGate.ts";
import { encodeReport, encodeResponse, safeDecodeReport, safeDecodeResponse } from "./quotaMessages.ts";
import type { ClientAccount } from "./types.ts";

export interface QuotasOptions {
    readonly name: string;
    /** Start time of this process. */
    readonly process: number;
    readonly bounds: QuotaBounds;
    readonly log: EventLog;
    readonly counters: Counters;
    readonly directory: Pick<NodeDirectory, "size" | "allNodes" | "get">;
    /** Accounts of the configuration in force; `undefined` if it has none. */
    readonly accounts: () => Iterable<ClientAccount> | undefined;
    readonly configVersion: () => number;
    /** Sends a JSON-RPC request to another node. */
    readonly request: (node: KnownNode, method: string, params: unknown) => PromiseLike<unknown>;
}

export interface QuotaPoolStatus {
    readonly pool: string;
    readonly poolNode: string | undefined;
    /** Part of all nodes' shares that is delegated to this node. */
    readonly delegatedShare: number;
    /** Tokens that this node holds for requests of its own clients. */
    readonly tokensHeld: number;
}

interface OwnShare {
    readonly share: QuotaShare;
    readonly chooser: PoolNodeChooser;
    readonly label: string;
}

interface WaitingRequest {
    readonly until: number;
    readonly onDecided: (isAdmitted: boolean) => void;
}

export const QUOTA_REPORT_METHOD = "quota.report";
/** Maximum time for which a request waits for a token; a report and its response usually take a few ms. */
const MAX_WAIT_MS = 80;
const MAX_WAITING_PER_ACCOUNT = 256;
/** Changes of the nodes are taken over in batches, since all nodes are sorted then. */
const NODES_INTERVAL_MS = 250;
const CHOOSE_INTERVAL_MS = 100;
const LOG_INTERVAL_MS = 1000;
/** A pool without reports for this long is forgotten; all its delegations and tokens have expired. */
const POOL_IDLE_MS = 300_000;
const MIN_RETRY_AFTER_MS = 20;

export class Quotas implements QuotaGate {
    private table: QuotaTable;
    private own: readonly OwnShare[] = [];
    private readonly shareOfAccount = new Map<string, OwnShare>();
    /** Pools of which this node is the pool node, by number of pools and index. */
    private readonly pools = new Map<string, QuotaPool>();
    private readonly waiting = new Map<string, WaitingRequest[]>();
    /** Requests refused since the last log line, by account. */
    private readonly refused = new Map<string, number>();
    private sortedNames: readonly string[] = [];
    private rank = 0;
    private areNodesChanged = true;
    /** From when on this node's shares may be delegated; see `onNodesKnown`. */
    private freeAt = Infinity;
    private nodesUpdatedAt = -Infinity;
    private chosenAt = -Infinity;
    private loggedAt = -Infinity;
    private isRunning = false;
    private readonly timer = new DueTimer(() => this.update());
    private isUpdateScheduled = false;

    constructor(private readonly options: QuotasOptions) {
        this.table = new QuotaTable(0, [], options.bounds);
    }

    /** Handles a new configuration. */
    onConfig(): void {
        const { accounts, configVersion, bounds } = this.options;
        this.table = new QuotaTable(configVersion(), accounts() ?? [], bounds);
        for (const { share } of this.own) share.setTable(this.table);
        for (const pool of this.pools.values()) pool.setTable(this.table);
        this.indexAccounts();
        if (this.table.limits.length === 0) this.close();
        else {
            this.isRunning = true;
            this.update();
        }
    }

    /**
     * Starts the time after which this node's shares may be used. Before, it may know too few nodes, so that its shares
     * would be too large, and until the end of that time an earlier process of it may have lent them.
     */
    onNodesKnown(): void {
        if (this.freeAt !== Infinity) return;
        this.freeAt = steadyNow() + TAKE_BACK_MS * intervalScaleOf(this.options.directory.size);
        for (const { share } of this.own) share.allowFrom(this.freeAt);
        this.startTimer(steadyNow());
    }

    onNodesChanged(): void {
        this.areNodesChanged = true;
    }

    /** Ends the timer; requests that wait are refused. */
    close(): void {
        this.isRunning = false;
        this.timer.stop();
        const waiting = [...this.waiting.values()];
        this.waiting.clear();
        for (const requests of waiting) for (const { onDecided } of requests) onDecided(false);
    }

    acquire(
        account: ClientAccount,
        onDecided: (isAdmitted: boolean) => void,
    ): "admitted" | "waiting" | "refused" {
        const { name } = account;
        const own = this.shareOfAccount.get(name);
        if (own === undefined) return "admitted";
        const now = steadyNow();
        const result = own.share.acquire(name, now);
        if (result === "admitted") {
            this.options.counters.countQuotaUse(own.label);
            // Few tokens may be left now, so that the next report is due earlier.
            if (this.timer.isLateFor(own.share.reportDueAt())) this.startTimer(now);
            return "admitted";
        }
        const requests = this.waiting.get(name) ?? [];
        if (result === "exhausted" || requests.length >= MAX_WAITING_PER_ACCOUNT) {
            this.countRefusal(name);
            return "refused";
        }
        requests.push({ until: now + MAX_WAIT_MS, onDecided });
        this.waiting.set(name, requests);
        own.share.setWaiting(name, requests.length);
        this.scheduleUpdate();
        return "waiting";
    }

    giveBack({ name }: ClientAccount): void {
        this.shareOfAccount.get(name)?.share.giveBack(name, steadyNow());
    }

    retryAfterMs({ name }: ClientAccount): number {
        const own = this.shareOfAccount.get(name);
        return Math.max(MIN_RETRY_AFTER_MS, own?.share.retryAfterMs(name, steadyNow()) ?? 0);
    }

    /** Answers another node's report. Returns `null` to a message that is malformed or arrives after a later one. */
    onReport(params: unknown): unknown {
        const report = safeDecodeReport(params);
        if (report === undefined || this.options.directory.get(report.node) === undefined) {
            this.options.log.event("quota-report-unreadable", { node: report?.node });
            return null;
        }
        this.options.counters.quotaReportsReceived++;
        const response = this.answer(report);
        return response === undefined ? null : encodeResponse(response);
    }

    poolStatuses(): QuotaPoolStatus[] {
        const now = steadyNow();
        return this.own.map(({ share, label }) => ({
            pool: label,
            poolNode: share.poolNode,
            delegatedShare: this.pools.get(label)?.delegatedShareAt(now) ?? 0,
            tokensHeld: share.tokensHeld(now),
        }));
    }

    /** Before this node has the accounts, it answers without tokens, so that it is not taken to be silent. */
    private answer(report: QuotaReport): QuotaResponse | undefined {
        const now = steadyNow();
        const { poolCount, poolIndex } = report;
        const label = labelOf(poolCount, poolIndex);
        let pool = this.pools.get(label);
        if (pool === undefined) {
            const { process } = this.options;
            pool = new QuotaPool({ poolCount, poolIndex, process, table: this.table, now });
            this.pools.set(label, pool);
        }
        const view = { nodeCount: this.options.directory.size, rank: this.rank };
        return pool.onReport(report, view, now);
    }

    /** Does all that is due, and starts the timer for what is due next. */
    private update(): void {
        const now = steadyNow();
        this.timer.stop();
        this.updateNodes(now);
        for (const { share } of this.own) share.expirePending(now);
        if (
            now - this.chosenAt >= CHOOSE_INTERVAL_MS || this.own.some(({ share }) => share.isPoolNodeSilent)
        ) {
            this.chosenAt = now;
            for (const own of this.own) this.choosePoolNode(own, now);
        }
        this.sendDue(now);
        if (this.waiting.size > 0) this.refuseExpired(now);
        if (now - this.loggedAt >= LOG_INTERVAL_MS) {
            this.loggedAt = now;
            this.logRefusals();
            for (const [label, pool] of this.pools) {
                if (now - pool.lastReportAt > POOL_IDLE_MS) this.pools.delete(label);
            }
        }
        this.startTimer(now);
    }

    private startTimer(now: number): void {
        if (this.isRunning) this.timer.start(this.nextDueAt(now), now);
    }

    /** When a report is due, a waiting request expires or, without a pool node, one may be found. */
    private nextDueAt(now: number): number {
        let dueAt = now + LOG_INTERVAL_MS;
        for (const { share } of this.own) {
            const shareDueAt = share.poolNode === undefined ? now + CHOOSE_INTERVAL_MS : share.reportDueAt();
            dueAt = Math.min(dueAt, shareDueAt);
        }
        for (const requests of this.waiting.values()) dueAt = Math.min(dueAt, requests[0]!.until);
        return dueAt;
    }

    private updateNodes(now: number): void {
        const { directory, name } = this.options;
        const intervalMs = NODES_INTERVAL_MS * intervalScaleOf(directory.size);
        if (!this.areNodesChanged || now - this.nodesUpdatedAt < intervalMs) return;
        this.areNodesChanged = false;
        this.nodesUpdatedAt = now;
        this.sortedNames = Array.from(directory.allNodes(), ({ record }) => record.name).sort();
        this.rank = Math.max(0, this.sortedNames.indexOf(name));
        const nodeCount = Math.max(1, directory.size);
        if (poolCountOf(nodeCount) !== this.own.length) this.createShares(poolCountOf(nodeCount));
        for (const { share, chooser } of this.own) {
            share.setNodeCount(nodeCount);
            chooser.setNodes(this.sortedNames);
        }
    }

    /** Accounts move to other pools with the number of pools, so all shares have to come back first. */
    private createShares(poolCount: number): void {
        const { name, process } = this.options;
        const freeAt = Math.max(this.freeAt, ...this.own.map(({ share }) => share.shareFreeAt()));
        this.own = Array.from({ length: poolCount }, (_, poolIndex) => ({
            share: new QuotaShare({ node: name, process, poolCount, poolIndex, table: this.table, freeAt }),
            chooser: new PoolNodeChooser(poolCount, poolIndex),
            label: labelOf(poolCount, poolIndex),
        }));
        this.indexAccounts();
    }

    private indexAccounts(): void {
        this.shareOfAccount.clear();
        if (this.own.length === 0) return;
        for (const { name, hash } of this.table.limits) {
            this.shareOfAccount.set(name, this.own[hash % this.own.length]!);
        }
    }

    private choosePoolNode(own: OwnShare, now: number): void {
        const { share, chooser, label } = own;
        const { poolNode: current } = share;
        const isUsable = (name: string) => {
            const node = this.options.directory.get(name);
            return node?.isConnected === true && node.record.isRefusingRuns !== true;
        };
        const isLent = share.isLent(now);
        // A node answers its own reports in the same process.
        const isSilent = share.isPoolNodeSilent && current !== this.options.name;
        const next = chooser.choose({ current, isLent, isSilent, isUsable }, now);
        if (next === undefined || next === current) return;
        const { log } = this.options;
        log.event("quota-pool-node", { pool: label, node: next, previous: current });
        const withdrawal = share.setPoolNode(next, now);
        if (withdrawal !== undefined && current !== undefined) this.send(own, withdrawal, current);
        if (isLent) {
            const afterMs = Math.round(share.shareFreeAt() - now);
            log.event("quota-share-back", { pool: label, previous: current, afterMs });
        }
    }

    /** Does what is due at the end of this turn of the event loop, for all requests that wait by then. */
    private scheduleUpdate(): void {
        if (this.isUpdateScheduled) return;
        this.isUpdateScheduled = true;
        setImmediate(() => {
            this.isUpdateScheduled = false;
            if (this.isRunning) this.update();
        });
    }

    private sendDue(now: number): void {
        for (const own of this.own) {
            const { poolNode } = own.share;
            if (poolNode === undefined || !own.share.isReportDue(now)) continue;
            this.send(own, own.share.createReport(now), poolNode);
        }
    }

    private send(own: OwnShare, sent: SentReport, poolNode: string): void {
        const { name, directory, counters, request } = this.options;
        if (poolNode === name) {
            setImmediate(() => this.onResponse(own, sent, this.answer(sent.report)));
            return;
        }
        const node = directory.get(poolNode);
        if (node === undefined) {
            own.share.onNoResponse(sent);
            return;
        }
        counters.quotaReportsSent++;
        request(node, QUOTA_REPORT_METHOD, encodeReport(sent.report)).then(
            response => this.onResponse(own, sent, safeDecodeResponse(response)),
            () => this.onResponse(own, sent, undefined),
        );
    }

    private onResponse(own: OwnShare, sent: SentReport, response: QuotaResponse | undefined): void {
        if (response === undefined) {
            own.share.onNoResponse(sent);
            this.startTimer(steadyNow());
            return;
        }
        if (!own.share.onResponse(sent, response, steadyNow())) return;
        for (const name of this.waiting.keys()) {
            if (this.shareOfAccount.get(name) === own) this.decideWaiting(own, name);
        }
        this.startTimer(steadyNow());
    }

    private decideWaiting(own: OwnShare, name: string): void {
        const requests = this.waiting.get(name) ?? [];
        const now = steadyNow();
        let decided = 0;
        for (; decided < requests.length; decided++) {
            const result = own.share.acquireWaiting(name, now);
            if (result === "empty") break;
            const isAdmitted = result === "admitted";
            if (isAdmitted) this.options.counters.countQuotaUse(own.label);
            else this.countRefusal(name);
            requests[decided]!.onDecided(isAdmitted);
        }
        this.removeWaiting(name, decided);
    }

    private refuseExpired(now: number): void {
        for (const [name, requests] of this.waiting) {
            let expired = 0;
            for (; expired < requests.length && requests[expired]!.until <= now; expired++) {
                this.countRefusal(name);
                requests[expired]!.onDecided(false);
            }
            if (expired > 0) this.removeWaiting(name, expired);
        }
    }

    private removeWaiting(name: string, count: number): void {
        const left = this.waiting.get(name)?.slice(count) ?? [];
        if (left.length > 0) this.waiting.set(name, left);
        else this.waiting.delete(name);
        this.shareOfAccount.get(name)?.share.setWaiting(name, left.length);
    }

    private countRefusal(name: string): void {
        this.options.counters.quotaRefusals++;
        this.refused.set(name, (this.refused.get(name) ?? 0) + 1);
    }

    private logRefusals(): void {
        for (const [account, requests] of this.refused) {
            this.options.log.event("quota-refused", { account, requests });
        }
        this.refused.clear();
    }
}

function labelOf(poolCount: number, poolIndex: number): string {
    return `${poolIndex + 1}/${poolCount}`;
}
