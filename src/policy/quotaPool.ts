/**
 * Decisions of a pool node: which tokens the nodes get that delegate their shares of some accounts to it.
 *
 * Tokens are made only at the rate of the shares that are delegated, and each is used at most once. The tokens that the
 * pool keeps and those that nodes may still hold never exceed the capacity in proportion to these shares. Both rules
 * together bound the requests in any window; see docs/design/quotas.md.
 */
import { DELEGATION_MS, intervalScaleOf, prefetchTargetOf, TOKEN_LIFETIME_MS } from "./quotaTypes.ts";
import type {
    AccountKey,
    ProcessTime,
    QuotaLimit,
    QuotaReport,
    QuotaResponse,
    QuotaTable,
    ReportEntry,
    ResponseEntry,
} from "./quotaTypes.ts";

/** Part of the kept tokens, and of the capacity, that is handed out in advance. */
const PREFETCH_LEVEL_SHARE = 1 / 2;
const PREFETCH_CAPACITY_SHARE = 2 / 3;
/** Nodes ask for an exhausted account less often the more of them there are: 100 times per second in total. */
const ASK_AGAIN_MS_PER_NODE = 10;
const MIN_ASK_AGAIN_MS = 50;
const MAX_ASK_AGAIN_MS = 250;
const MAX_RETRY_AFTER_MS = 5000;
/** Without a share, e.g. after a restart of all nodes, the time is unknown; the shares come back within 1.5 s. */
const NO_SHARE_RETRY_AFTER_MS = 500;

interface Delegation {
    readonly share: number;
    readonly until: number;
}

interface Holder {
    readonly tokens: number;
    readonly until: number;
}

interface Bucket {
    limit: QuotaLimit;
    /** Tokens that are not handed out. */
    level: number;
    /** Value of `shareTime` at the last refill. */
    refilledAt: number;
    /** Nodes that reported the account lately, with the tokens that they may still hold. */
    readonly holders: Map<string, Holder>;
    /** Sum of the holders' tokens. */
    outstanding: number;
    sweepAt: number;
    /** Time by which all requests refused so far could have been admitted. */
    promisedUntil: number;
}

/** What the pool node itself knows of all nodes. */
export interface PoolNodeView {
    readonly nodeCount: number;
    /** Index of the pool node among the sorted names of all nodes. */
    readonly rank: number;
}

export interface QuotaPoolOptions {
    readonly poolCount: number;
    readonly poolIndex: number;
    /** See `ProcessTime.process`. */
    readonly process: number;
    readonly table: QuotaTable;
    readonly now: number;
}

export class QuotaPool {
    private table: QuotaTable;
    private readonly buckets = new Map<string, Bucket>();
    private readonly delegations = new Map<string, Delegation>();
    private readonly lastReports = new Map<string, ProcessTime>();
    private share = 0;
    /** Integral of `share` over time, ms. */
    private shareTime = 0;
    private advancedAt: number;
    private nextExpiryAt = Infinity;
    private view: PoolNodeView = { nodeCount: 1, rank: 0 };
    private reportedAt: number;

    constructor(private readonly options: QuotaPoolOptions) {
        this.table = options.table;
        this.advancedAt = options.now;
        this.reportedAt = options.now;
        this.setTable(options.table);
    }

    /** Sum of the shares that are delegated to this pool, 0 to 1. */
    delegatedShareAt(now: number): number {
        this.advance(now);
        return this.delegatedShare;
    }

    /** Tokens of all accounts that are not handed out. */
    tokensKept(now: number): number {
        this.advance(now);
        this.refillAll();
        let sum = 0;
        for (const { level } of this.buckets.values()) sum += level;
        return sum;
    }

    /** When the last report arrived. */
    get lastReportAt(): number {
        return this.reportedAt;
    }

    /** Applies the accounts of another configuration version. Tokens are reduced in proportion to a lower capacity. */
    setTable(table: QuotaTable): void {
        const { poolCount, poolIndex } = this.options;
        this.table = table;
        for (const [name, bucket] of this.buckets) {
            const limit = table.get(name);
            if (limit === undefined) {
                this.buckets.delete(name);
                continue;
            }
            this.refill(bucket);
            bucket.level *= Math.min(1, limit.capacity / bucket.limit.capacity);
            bucket.limit = limit;
        }
        for (const limit of table.limits) {
            if (limit.hash % poolCount !== poolIndex || this.buckets.has(limit.name)) continue;
            this.buckets.set(limit.name, {
                limit,
                level: 0,
                refilledAt: this.shareTime,
                holders: new Map(),
                outstanding: 0,
                sweepAt: -Infinity,
                promisedUntil: -Infinity,
            });
        }
    }

    /** Answers a report; a report that arrives after a later one of its sender is ignored. */
    onReport(report: QuotaReport, view: PoolNodeView, now: number): QuotaResponse | undefined {
        const last = this.lastReports.get(report.node);
        if (last?.process === report.sent.process && last.at >= report.sent.at) return undefined;
        this.lastReports.set(report.node, report.sent);
        this.view = view;
        this.reportedAt = now;
        this.advance(now);
        this.updateDelegation(report, now);
        const entries: ResponseEntry[] = [];
        for (const entry of report.entries) {
            const bucket = this.bucketOf(entry[0], report.version);
            if (bucket !== undefined) entries.push(this.answer(bucket, report, entry, now));
        }
        return { version: this.table.version, time: { process: this.options.process, at: now }, entries };
    }

    private get delegatedShare(): number {
        return Math.min(1, this.share);
    }

    private bucketOf(key: AccountKey, version: number): Bucket | undefined {
        if (typeof key === "string") return this.buckets.get(key);
        if (version !== this.table.version) return undefined;
        return this.buckets.get(this.table.limits[key]?.name ?? "");
    }

    private answer(
        bucket: Bucket,
        { node, nodeCount }: QuotaReport,
        [key, held, returned, waiting, demandPerS]: ReportEntry,
        now: number,
    ): ResponseEntry {
        const scale = intervalScaleOf(nodeCount);
        if (now >= bucket.sweepAt) this.sweep(bucket, now, scale);
        bucket.outstanding -= bucket.holders.get(node)?.tokens ?? 0;
        bucket.level += returned;
        this.refill(bucket);
        const capacity = this.capacityOf(bucket.limit);
        const room = Math.max(0, capacity - bucket.outstanding);
        const kept = Math.min(held, Math.floor(room));
        bucket.level = Math.min(bucket.level, room - kept);
        const forWaiting = Math.min(waiting, Math.floor(bucket.level));
        bucket.level -= forWaiting;
        const wanted = Math.max(0, prefetchTargetOf(demandPerS, scale) - kept);
        const prefetchRoom = capacity * PREFETCH_CAPACITY_SHARE - bucket.outstanding - kept - forWaiting;
        const inAdvance = Math.max(
            0,
            Math.min(wanted, Math.floor(bucket.level * PREFETCH_LEVEL_SHARE), Math.floor(prefetchRoom)),
        );
        bucket.level -= inAdvance;
        const tokens = kept + forWaiting + inAdvance;
        bucket.outstanding += tokens;
        bucket.holders.set(node, { tokens, until: now + TOKEN_LIFETIME_MS * scale });
        const unserved = waiting - forWaiting;
        const isExhausted = unserved > 0 || wanted > inAdvance && bucket.level < 1;
        return [
            key,
            tokens - held,
            isExhausted ? askAgainMsOf(bucket.holders.size) * scale : 0,
            unserved > 0 ? this.retryAfterMs(bucket, unserved, now) : 0,
        ];
    }

    /** Gives each refused request a time of its own, at the rate of the pool. */
    private retryAfterMs(bucket: Bucket, refused: number, now: number): number {
        const tokensPerMs = bucket.limit.tokensPerMs * this.delegatedShare;
        if (tokensPerMs === 0) return NO_SHARE_RETRY_AFTER_MS;
        const firstAt = now + Math.max(0, 1 - bucket.level) / tokensPerMs;
        const until = Math.max(bucket.promisedUntil, firstAt) + (refused - 1) / tokensPerMs;
        bucket.promisedUntil = Math.min(now + MAX_RETRY_AFTER_MS, until + 1 / tokensPerMs);
        return Math.ceil(Math.min(MAX_RETRY_AFTER_MS, until - now));
    }

    private updateDelegation(
        { node, nodeCount, echo, isDelegating }: QuotaReport,
        now: number,
    ): void {
        const isOwnEcho = echo?.process === this.options.process && echo.at <= now;
        const until = isOwnEcho ? echo.at + DELEGATION_MS * intervalScaleOf(nodeCount) : -Infinity;
        const previous = this.delegations.get(node);
        if (isDelegating && until <= now) return;
        const share = isDelegating ? 1 / Math.max(nodeCount, this.view.nodeCount) : 0;
        const change = share - (previous?.share ?? 0);
        // A bucket is reduced to the capacity of the shares that are left when it is used next, or here before they grow.
        if (change > 0) this.refillAll();
        this.share += change;
        if (isDelegating) {
            this.delegations.set(node, { share, until });
            this.nextExpiryAt = Math.min(this.nextExpiryAt, until);
        }
        else this.delegations.delete(node);
    }

    /** Advances `shareTime` and removes delegations that have expired. */
    private advance(now: number): void {
        const elapsed = now - this.advancedAt;
        if (elapsed <= 0) return;
        if (now < this.nextExpiryAt) this.shareTime += this.delegatedShare * elapsed;
        else this.expireDelegations(now, elapsed);
        this.advancedAt = now;
    }

    private expireDelegations(now: number, elapsed: number): void {
        let delegatedMs = 0;
        let share = 0;
        this.nextExpiryAt = Infinity;
        for (const [node, delegation] of this.delegations) {
            delegatedMs += delegation.share * Math.max(0, Math.min(now, delegation.until) - this.advancedAt);
            if (delegation.until <= now) {
                this.delegations.delete(node);
                continue;
            }
            share += delegation.share;
            this.nextExpiryAt = Math.min(this.nextExpiryAt, delegation.until);
        }
        this.shareTime += Math.min(elapsed, delegatedMs);
        this.share = share;
    }

    private refillAll(): void {
        for (const bucket of this.buckets.values()) this.refill(bucket);
    }

    private refill(bucket: Bucket): void {
        bucket.level += bucket.limit.tokensPerMs * (this.shareTime - bucket.refilledAt);
        bucket.refilledAt = this.shareTime;
        const room = this.capacityOf(bucket.limit) - bucket.outstanding;
        bucket.level = Math.max(0, Math.min(bucket.level, room));
    }

    /** Capacity in proportion to the delegated shares, or one token at some nodes; see `QuotaLimit.isolatedTokens`. */
    private capacityOf({ capacity, isolatedTokens, hash }: QuotaLimit): number {
        const proportional = capacity * this.delegatedShare;
        if (proportional >= 1 || this.delegations.size === 0) return proportional;
        const { rank, nodeCount } = this.view;
        return (rank + hash) % nodeCount < isolatedTokens ? 1 : proportional;
    }

    private sweep(bucket: Bucket, now: number, scale: number): void {
        bucket.sweepAt = now + TOKEN_LIFETIME_MS * scale / 2;
        for (const [node, { tokens, until }] of bucket.holders) {
            if (until > now) continue;
            bucket.holders.delete(node);
            bucket.outstanding -= tokens;
        }
    }
}

function askAgainMsOf(nodeCount: number): number {
    return Math.min(MAX_ASK_AGAIN_MS, Math.max(MIN_ASK_AGAIN_MS, nodeCount * ASK_AGAIN_MS_PER_NODE));
}
