/**
 * Terms that both sides of the quotas share: the limits of the accounts, and the messages between a node and the pool
 * node of an account. docs/design/quotas.md has the safety argument.
 */
import { fnv1aHash } from "./admissionLevel.ts";

/** What the checked bound allows beyond the quota; see docs/accounts-and-limits.md, section 1.2. */
export interface QuotaBounds {
    readonly windowMs: number;
    readonly overage: number;
    readonly slack: number;
}

/** Part of a client account that the quotas use. */
export interface QuotaAccount {
    readonly name: string;
    readonly ratePerS: number;
    readonly burst: number;
}

export interface QuotaLimit {
    readonly name: string;
    readonly tokensPerMs: number;
    /** Maximum number of unused tokens of the account on all nodes together. */
    readonly capacity: number;
    /**
     * Number of nodes that may hold one token, beyond `capacity`, while their part of `capacity` is less than one: else
     * nodes that are isolated from each other could serve no request of a small account.
     */
    readonly isolatedTokens: number;
    /** Hash of the name: decides the pool, and which nodes have the isolated tokens. */
    readonly hash: number;
}

/** Time after its echo for which a delegation counts at the pool node. */
export const DELEGATION_MS = 1000;
/** Time after its report for which a node may use tokens of the response. */
export const TOKEN_LIFETIME_MS = 500;
/** A share that was delegated is free again this long after the last report that delegated it. */
export const TAKE_BACK_MS = DELEGATION_MS + TOKEN_LIFETIME_MS;
/** With more nodes than this, all intervals are extended, so that a pool node gets no more reports per second. */
const UNSCALED_NODES = 256;
/** Requests that a node expects in this time are given tokens in advance. */
const PREFETCH_S = 0.3;
/** A node with fewer requests per second gets tokens only for waiting requests; others might lack them meanwhile. */
const MIN_PREFETCH_RATE = 2;
const NODES_PER_POOL = 64;
/** Nodes work in batches, which need at least this many seconds of the rate as capacity. */
const MIN_CAPACITY_S = 0.25;

/** Factor by which the intervals are extended. */
export function intervalScaleOf(nodeCount: number): number {
    return Math.max(1, nodeCount / UNSCALED_NODES);
}

/** Tokens that a node with this demand should hold: for the expected requests and one standard deviation. */
export function prefetchTargetOf(demandPerS: number, scale: number): number {
    if (demandPerS < MIN_PREFETCH_RATE) return 0;
    const expected = demandPerS * PREFETCH_S * scale;
    return Math.ceil(expected + Math.sqrt(expected));
}

export function poolCountOf(nodeCount: number): number {
    return Math.max(1, Math.floor(nodeCount / NODES_PER_POOL));
}

/**
 * Half of what the bound allows beyond the quota is handed out, a quarter where it depends on the rate. The rest is for
 * requests that are admitted at different times and reach a target at the same time. If the capacity has to exceed this,
 * the rate is lowered, so that capacity and rate together stay within the bound.
 */
export function quotaLimitOf({ name, ratePerS, burst }: QuotaAccount, bounds: QuotaBounds): QuotaLimit {
    const windowS = bounds.windowMs / 1000;
    const { overage, slack } = bounds;
    const capacity = Math.max(
        1,
        ratePerS * MIN_CAPACITY_S,
        burst * (1 + overage / 2) + slack / 2 + ratePerS * windowS * overage / 4,
    );
    const allowed = (ratePerS * windowS + burst) * (1 + overage) + slack;
    const isolatedTokens = Math.floor(slack / 2);
    const effectiveRate = Math.min(ratePerS, Math.max(0, allowed - capacity - isolatedTokens) / windowS);
    return {
        name,
        tokensPerMs: effectiveRate / 1000,
        capacity,
        isolatedTokens,
        hash: fnv1aHash(name) >>> 0,
    };
}

/** The limited accounts of one configuration version, sorted by name, so that an index identifies an account. */
export class QuotaTable {
    readonly limits: readonly QuotaLimit[];
    readonly indexes: ReadonlyMap<string, number>;

    constructor(readonly version: number, accounts: Iterable<QuotaAccount>, bounds: QuotaBounds) {
        this.limits = [...accounts].filter(account => account.ratePerS > 0)
            .map(account => quotaLimitOf(account, bounds))
            .sort((a, b) => a.name < b.name ? -1 : 1);
        this.indexes = new Map(this.limits.map((limit, index) => [limit.name, index]));
    }

    get(name: string): QuotaLimit | undefined {
        return this.limits[this.indexes.get(name) ?? -1];
    }
}

/** An account in a message: its index in the table of the message's version, or its name if the versions differ. */
export type AccountKey = number | string;

/** Account, tokens held, tokens returned, requests waiting, and requests per second. */
export type ReportEntry = readonly [AccountKey, number, number, number, number];

/** Account, change of the tokens held, ms until it is worth asking again, and ms until another request is allowed. */
export type ResponseEntry = readonly [AccountKey, number, number, number];

/** A time by the clock of one process. */
export interface ProcessTime {
    /** Start time of the process, which distinguishes it from earlier ones of the same name. */
    readonly process: number;
    readonly at: number;
}

/** A node's report to the pool node of some accounts. */
export interface QuotaReport {
    readonly node: string;
    /** Increases with each report of a process, so that a late one is recognised. */
    readonly sent: ProcessTime;
    readonly version: number;
    readonly nodeCount: number;
    readonly poolCount: number;
    readonly poolIndex: number;
    /** Time in the last response of the pool node. The report was therefore sent later than this. */
    readonly echo?: ProcessTime | undefined;
    /** Whether the node lends its share until the end of the lease. */
    readonly isDelegating: boolean;
    readonly entries: readonly ReportEntry[];
}

export interface QuotaResponse {
    readonly version: number;
    readonly time: ProcessTime;
    readonly entries: readonly ResponseEntry[];
}
