/** Counters of the data plane: plain numbers on the request path, converted to metrics only when read. */
import type { FailureReason, RefusalReason, RetryReason } from "./types.ts";

/** Bounds the label values of the metrics. The refusals of further accounts are counted under `OTHER_ACCOUNTS`. */
const MAX_COUNTED_ACCOUNTS = 200;
const OTHER_ACCOUNTS = "other";

export class Counters {
    readonly requestsByRoute = new Map<string, number>();
    readonly refusalsByReason = new Map<string, number>();
    readonly failuresByReason = new Map<string, number>();
    /** Retries and hedges; transparent retries are not counted. */
    readonly retriesByReason = new Map<string, number>();
    /** Runs that this node's runner refused, whichever node sent the request. */
    readonly runRefusalsByReason = new Map<string, number>();
    /** Requests admitted by the quota of their account, by quota pool. */
    readonly quotaUsesByPool = new Map<string, number>();
    quotaRefusals = 0;
    quotaReportsSent = 0;
    quotaReportsReceived = 0;
    /** Requests from clients, excluding nested calls. */
    clientRequests = 0;
    clientRefusals = 0;
    /** Responses to clients with a status below 500. */
    clientServed = 0;
    /** Requests that got 401 because they had no valid key; not counted anywhere else. */
    unauthorizedRequests = 0;
    /** Refused calls by account and reason. */
    readonly accountRefusals = new Map<string, Map<RefusalReason, number>>();
    runsStarted = 0;
    /** Total time that started runs waited for a slot, ms. */
    runsWaitedMs = 0;
    /** Total time that ended runs occupied a slot, ms. */
    slotMs = 0;

    countRequest(route: string): void {
        increment(this.requestsByRoute, route);
    }

    countRefusal(reason: RefusalReason): void {
        increment(this.refusalsByReason, reason);
    }

    countAccountRefusal(account: string, reason: RefusalReason): void {
        const { accountRefusals } = this;
        const isCounted = accountRefusals.has(account) || accountRefusals.size < MAX_COUNTED_ACCOUNTS;
        const name = isCounted ? account : OTHER_ACCOUNTS;
        let counts = accountRefusals.get(name);
        if (counts === undefined) accountRefusals.set(name, counts = new Map<RefusalReason, number>());
        increment(counts, reason);
    }

    countFailure(reason: FailureReason): void {
        increment(this.failuresByReason, reason);
    }

    countRetry(reason: RetryReason): void {
        increment(this.retriesByReason, reason);
    }

    countQuotaUse(pool: string): void {
        increment(this.quotaUsesByPool, pool);
    }

    countRunRefusal(reason: RefusalReason): void {
        increment(this.runRefusalsByReason, reason);
    }
}

function increment<K extends string>(counts: Map<K, number>, key: K): void {
    counts.set(key, (counts.get(key) ?? 0) + 1);
}
