/**
 * A node's side of one quota pool: the tokens that it holds, and to whom its share of the accounts is delegated. The
 * share is lent to one pool node at a time. A node without a connection to other nodes is its own pool node.
 */
import { intervalScaleOf, prefetchTargetOf, TAKE_BACK_MS, TOKEN_LIFETIME_MS } from "./quotaTypes.ts";
import type { ProcessTime, QuotaReport, QuotaResponse, QuotaTable, ReportEntry } from "./quotaTypes.ts";

/** Interval of reports while the pool's accounts have requests at this node. */
const ACTIVE_REPORT_MS = 250;
/** Interval of reports otherwise, which only renew the delegation: two of them fit into `DELEGATION_MS`. */
const IDLE_REPORT_MS = 400;
/** Minimum interval of reports because of requests that wait, and of reports because few tokens are left. */
const WAITING_REPORT_MS = 25;
const LOW_REPORT_MS = 50;
const SILENT_REPORTS = 2;
/** Fewer tokens than this are not replenished before the next report. */
const MIN_LOW_BATCH = 4;
/** Time constant of the smoothed demand. */
const DEMAND_WINDOW_MS = 1000;
/** An account with fewer requests per second is left out of the reports if there is nothing else to report. */
const MIN_DEMAND = 0.5;

export type AcquireResult = "admitted" | "empty" | "exhausted";

class AccountTokens {
    tokens = 0;
    /** Number of tokens that the pool node may expect this node to hold. */
    ceiling = 0;
    validUntil = -Infinity;
    /** Which pool node gave the tokens; see `QuotaShare.generation`. */
    generation = 0;
    /** Tokens to be returned with the next report. */
    returned = 0;
    waiting = 0;
    arrivals = 0;
    demandPerS = 0;
    lastBatch = 0;
    askAgainAt = -Infinity;
    retryAt = -Infinity;
}

export interface QuotaShareOptions {
    readonly node: string;
    /** Start time of this process. */
    readonly process: number;
    readonly poolCount: number;
    readonly poolIndex: number;
    readonly table: QuotaTable;
    /** From when on the share may be delegated: an earlier process, or an earlier pool, may have lent it. */
    readonly freeAt: number;
}

/** A report on its way. */
export interface SentReport {
    readonly report: QuotaReport;
    readonly sentAt: number;
    /** See `QuotaShare.generation`. */
    readonly generation: number;
    /** Whether the report ends the delegation to a pool node that has been replaced. */
    readonly isWithdrawal: boolean;
}

export class QuotaShare {
    readonly poolCount: number;
    readonly poolIndex: number;
    private table: QuotaTable;
    private readonly accounts = new Map<string, AccountTokens>();
    private poolNodeName: string | undefined;
    /** Incremented with each change of the pool node. */
    private generation = 0;
    private echo: ProcessTime | undefined;
    private poolVersion: number | undefined;
    private freeAt: number;
    private echoReceivedAt = -Infinity;
    /**
     * Until when the share may be in use at the current pool node. It counts from the receipt of the echo: all reports
     * with the same echo count until the same time, so reports without a response do not extend the delegation.
     */
    private lentUntil = -Infinity;
    /** The same for the last delegating report without a response. */
    private unansweredLentUntil = -Infinity;
    private unansweredReports = 0;
    private sentAt = -Infinity;
    private pending: SentReport | undefined;
    private nodeCount = 1;
    private isActive = false;
    private hasWaiting = false;
    private isLow = false;

    constructor(private readonly options: QuotaShareOptions) {
        this.poolCount = options.poolCount;
        this.poolIndex = options.poolIndex;
        this.table = options.table;
        this.freeAt = options.freeAt;
    }

    get poolNode(): string | undefined {
        return this.poolNodeName;
    }

    /** Tokens held, for the metrics. */
    tokensHeld(now: number): number {
        let sum = 0;
        for (const held of this.accounts.values()) if (now < held.validUntil) sum += held.tokens;
        return sum;
    }

    /** From when on another pool may get the share. */
    shareFreeAt(): number {
        return Math.max(this.freeAt, this.lentUntil);
    }

    /** Sets from when on the share may be delegated, if that was not known when this object was created. */
    allowFrom(time: number): void {
        if (this.freeAt === Infinity) this.freeAt = time;
    }

    /** Whether the share is or may be at a pool node now. */
    isLent(now: number): boolean {
        return now < this.lentUntil;
    }

    /** Whether the pool node does not answer, e.g. because it is paused. A single report may be lost to a pause here. */
    get isPoolNodeSilent(): boolean {
        return this.unansweredReports >= SILENT_REPORTS;
    }

    setNodeCount(nodeCount: number): void {
        this.nodeCount = nodeCount;
    }

    /** Applies the accounts of another configuration version; tokens are reduced in proportion to a lower capacity. */
    setTable(table: QuotaTable): void {
        for (const [name, held] of this.accounts) {
            const before = this.table.get(name);
            const after = table.get(name);
            if (before === undefined || after === undefined) {
                this.accounts.delete(name);
                continue;
            }
            held.tokens = Math.floor(held.tokens * Math.min(1, after.capacity / before.capacity));
        }
        this.table = table;
    }

    /**
     * Changes the pool node. The tokens of the previous one stay valid until they expire or the new one gives some.
     * Returns a report that withdraws the delegation, to be sent to the previous pool node if possible.
     */
    setPoolNode(name: string, now: number): SentReport | undefined {
        const isWithdrawable = this.poolNodeName !== undefined && this.isLent(now)
            && this.pending === undefined;
        const withdrawal = isWithdrawable
            ? {
                report: this.baseReport(false, [], now),
                sentAt: now,
                generation: this.generation,
                isWithdrawal: true,
            }
            : undefined;
        if (this.pending?.report.isDelegating === true) this.unansweredLentUntil = this.lentUntil;
        this.unansweredReports = 0;
        this.freeAt = this.shareFreeAt();
        this.poolNodeName = name;
        this.generation++;
        this.echo = undefined;
        this.poolVersion = undefined;
        this.lentUntil = -Infinity;
        this.sentAt = -Infinity;
        this.pending = undefined;
        return withdrawal;
    }

    /** Takes a token. `empty`: it is worth waiting for the response to a report; `exhausted`: it is not. */
    acquire(name: string, now: number): AcquireResult {
        const held = this.accountOf(name);
        held.arrivals++;
        if (this.take(held, now)) return "admitted";
        return now < held.askAgainAt ? "exhausted" : "empty";
    }

    /** Takes a token for a request that has waited. */
    acquireWaiting(name: string, now: number): AcquireResult {
        const held = this.accountOf(name);
        if (this.take(held, now)) return "admitted";
        return now < held.askAgainAt ? "exhausted" : "empty";
    }

    /** Sets the number of requests that wait for a token of an account. */
    setWaiting(name: string, count: number): void {
        this.accountOf(name).waiting = count;
        if (count > 0) this.hasWaiting = true;
    }

    /** Returns the token of a request that was refused without having run. */
    giveBack(name: string, now: number): void {
        if (this.table.get(name) === undefined) return;
        const held = this.accountOf(name);
        if (held.tokens < held.ceiling && now < held.validUntil) held.tokens++;
        else held.returned++;
        this.isActive = true;
    }

    /** Time in ms until another request may be admitted. */
    retryAfterMs(name: string, now: number): number {
        const held = this.accounts.get(name);
        const tokensPerMs = this.table.get(name)?.tokensPerMs ?? 0;
        const untilNextTokenMs = tokensPerMs > 0 ? 1 / tokensPerMs : 0;
        if (held === undefined) return untilNextTokenMs;
        return Math.max(held.retryAt - now, held.askAgainAt - now, untilNextTokenMs);
    }

    /** Whether a report is due. At most one is on its way. */
    isReportDue(now: number): boolean {
        if (this.poolNodeName === undefined) return false;
        this.expirePending(now);
        return now >= this.reportDueAt();
    }

    /** When the next report is due, or when the one on its way counts as lost; `Infinity` without a pool node. */
    reportDueAt(): number {
        if (this.poolNodeName === undefined) return Infinity;
        const { scale } = this;
        if (this.pending !== undefined) return this.pending.sentAt + TOKEN_LIFETIME_MS * scale;
        if (this.hasWaiting) return this.sentAt + WAITING_REPORT_MS;
        const soonAt = this.sentAt + LOW_REPORT_MS;
        if (this.isLow) return soonAt;
        const regularAt = this.sentAt + (this.isActive ? ACTIVE_REPORT_MS : IDLE_REPORT_MS) * scale;
        // The delegation starts with the second report, which has the echo of the first response.
        const isStarting = this.echo !== undefined && this.lentUntil === -Infinity;
        return isStarting ? Math.min(regularAt, Math.max(soonAt, this.freeAt)) : regularAt;
    }

    /** Ends the wait for the response to the report on its way if the tokens in it would have expired. */
    expirePending(now: number): void {
        if (this.pending !== undefined && now >= this.reportDueAt()) this.onNoResponse(this.pending);
    }

    /** Creates the next report, which is then on its way until `onResponse` or `onNoResponse`. */
    createReport(now: number): SentReport {
        const entries = this.createEntries(now);
        const isDelegating = this.echo !== undefined && now >= this.freeAt;
        if (isDelegating) this.lentUntil = this.echoReceivedAt + TAKE_BACK_MS * this.scale;
        this.sentAt = now;
        this.isActive = entries.length > 0;
        this.hasWaiting = false;
        this.isLow = false;
        this.pending = {
            report: this.baseReport(isDelegating, entries, now),
            sentAt: now,
            generation: this.generation,
            isWithdrawal: false,
        };
        return this.pending;
    }

    /** Applies the response to the report that is on its way; any other one is ignored. Returns whether it was applied. */
    onResponse(sent: SentReport, response: QuotaResponse, now: number): boolean {
        if (sent.isWithdrawal) this.onWithdrawn(sent, now);
        if (sent !== this.pending) return false;
        this.pending = undefined;
        this.unansweredReports = 0;
        if (this.echo !== undefined && this.echo.process !== response.time.process) {
            // A new process at the pool node: the delegation to the earlier one has to expire.
            this.freeAt = this.shareFreeAt();
            this.lentUntil = -Infinity;
        }
        this.echo = response.time;
        this.echoReceivedAt = now;
        this.poolVersion = response.version;
        const validUntil = sent.sentAt + TOKEN_LIFETIME_MS * this.scale;
        for (const [key, tokens, askAgainMs, retryMs] of response.entries) {
            const name = typeof key === "string"
                ? key
                : sent.report.version === this.table.version
                ? this.table.limits[key]?.name
                : undefined;
            const held = this.accounts.get(name ?? "");
            if (held === undefined) continue;
            this.applyTokens(held, tokens, validUntil, now);
            held.askAgainAt = askAgainMs > 0 ? now + askAgainMs : -Infinity;
            held.retryAt = now + retryMs;
        }
        return true;
    }

    /** Handles that a report got no response. */
    onNoResponse(sent: SentReport): void {
        if (sent !== this.pending) return;
        if (sent.report.isDelegating) this.unansweredLentUntil = this.lentUntil;
        this.unansweredReports++;
        this.pending = undefined;
    }

    private get scale(): number {
        return intervalScaleOf(this.nodeCount);
    }

    /** Tokens that the previous pool node has given may still be in use for a while. */
    private onWithdrawn(withdrawal: SentReport, now: number): void {
        if (withdrawal.generation + 1 !== this.generation) return;
        const expiredAt = now + TOKEN_LIFETIME_MS * this.scale;
        this.freeAt = Math.min(this.freeAt, Math.max(expiredAt, this.unansweredLentUntil));
    }

    private applyTokens(held: AccountTokens, tokens: number, validUntil: number, now: number): void {
        if (now >= validUntil) return;
        if (held.generation !== this.generation) {
            if (tokens <= 0) return;
            held.generation = this.generation;
            held.tokens = 0;
            held.ceiling = 0;
        }
        held.tokens = Math.max(0, held.tokens + tokens);
        held.ceiling = Math.max(0, held.ceiling + tokens);
        held.lastBatch = held.tokens;
        held.validUntil = validUntil;
    }

    private take(held: AccountTokens, now: number): boolean {
        if (held.tokens < 1 || now >= held.validUntil) return false;
        held.tokens--;
        if (held.lastBatch >= MIN_LOW_BATCH && held.tokens * 2 < held.lastBatch && now >= held.askAgainAt) {
            this.isLow = true;
        }
        return true;
    }

    private createEntries(now: number): ReportEntry[] {
        const elapsed = Math.min(DEMAND_WINDOW_MS, Math.max(1, now - this.sentAt));
        const weight = 1 - Math.exp(-elapsed / DEMAND_WINDOW_MS);
        const usesNames = this.poolVersion !== undefined && this.poolVersion !== this.table.version;
        const entries: ReportEntry[] = [];
        for (const [name, held] of this.accounts) {
            held.demandPerS += weight * (held.arrivals * 1000 / elapsed - held.demandPerS);
            held.arrivals = 0;
            const isOfPoolNode = held.generation === this.generation;
            if (isOfPoolNode && now >= held.validUntil) held.tokens = 0;
            const excess = held.tokens - prefetchTargetOf(held.demandPerS, this.scale);
            if (excess > 0 && isOfPoolNode) {
                held.returned += excess;
                held.tokens -= excess;
            }
            const tokens = isOfPoolNode ? held.tokens : 0;
            if (isOfPoolNode) held.ceiling = tokens;
            const isIdle = tokens === 0 && held.returned === 0 && held.waiting === 0;
            if (isIdle && held.demandPerS < MIN_DEMAND) {
                if (held.tokens === 0 && now >= held.askAgainAt) this.accounts.delete(name);
                continue;
            }
            const key = usesNames ? name : this.table.indexes.get(name)!;
            entries.push([key, tokens, held.returned, held.waiting, Math.round(held.demandPerS * 10) / 10]);
            held.returned = 0;
        }
        return entries;
    }

    private accountOf(name: string): AccountTokens {
        let held = this.accounts.get(name);
        if (held === undefined) {
            held = new AccountTokens();
            this.accounts.set(name, held);
        }
        return held;
    }

    private baseReport(
        isDelegating: boolean,
        entries: readonly ReportEntry[],
        now: number,
    ): QuotaReport {
        return {
            node: this.options.node,
            sent: { process: this.options.process, at: now },
            version: this.table.version,
            nodeCount: this.nodeCount,
            poolCount: this.poolCount,
            poolIndex: this.poolIndex,
            echo: this.echo,
            isDelegating,
            entries,
        };
    }
}
