/**
 * Chooses the Retry-After time of a refused request. Jitter keeps refused callers from retrying at the same time.
 *
 * At the beginning of an overload, the caller gets a long wait, because the overload may be over by the end of that
 * wait. An overload that has lasted longer than two such waits is expected to continue, and another long wait would
 * only make the response late. The caller then gets a wait after which a response can still meet the latency objective
 * of the route, or the long wait again if hardly any time is left for that.
 *
 * Refusals for transient reasons get a short wait.
 */
import type { RefusalReason } from "../mesh/types.ts";

export interface RefusalContext {
    /** Time in ms until the caller's deadline. */
    readonly leftMs: number;
    /**
     * Longest wait in ms after which a retry of mean latency still meets the latency objective of the route. Negative
     * if an immediate retry would miss it too.
     */
    readonly slackMs: number;
    /** Time in ms for which the route has been overloaded; 0 if the refusal is not due to overload. */
    readonly overloadDurationMs: number;
    /** Time in ms for which the request remains blocked, if it is. */
    readonly blockedForMs?: number | undefined;
    /** Time in ms after which the quota of the account allows another request, if that is the reason. */
    readonly quotaWaitMs?: number | undefined;
}

const OVERLOAD_REASONS: readonly RefusalReason[] = ["overload", "queue-timeout", "target-shed", "memory"];
/** A transient refusal gets this wait plus a random part of the jitter, or less if little time is left. */
const TRANSIENT_BASE_WAIT_MS = 60;
const TRANSIENT_JITTER_MS = 100;
/** Share of the slack that a caller may wait; the rest is a margin for responses slower than the mean. */
const MAX_WAIT_SHARE_OF_SLACK = 0.5;
/** With less slack than this, a retry is unlikely to meet the latency objective. */
const MIN_SLACK_MS = 25;
/** An overload is expected to continue if it has lasted longer than this number of default waits. */
const SUSTAINED_OVERLOAD_WAIT_COUNT = 2;
/** Bounds of the default wait under overload. Jitter then shortens it, to 0.4 times at the least. */
const MIN_DEFAULT_WAIT_MS = 80;
const MAX_DEFAULT_WAIT_MS = 1500;
const OPEN_CIRCUIT_WAIT_CAP_MS = 5000;
/**
 * Callers honour a Retry-After time of up to a third of the time until their deadline. This share stays below that,
 * also with the jitter for an open circuit, which multiplies it by up to 1.1. `MIN_DEFAULT_WAIT_MS` may exceed it if
 * little time is left.
 */
const HONOURED_WAIT_SHARE_OF_TIME_LEFT = 0.3;

/** Whether a refusal with this reason means that demand exceeds capacity. */
export function isOverloadReason(reason: RefusalReason): boolean {
    return OVERLOAD_REASONS.includes(reason);
}

/** Time in ms after which a refused caller may retry; `rand` returns numbers in [0, 1). */
export function retryAfterMs(reason: RefusalReason, context: RefusalContext, rand: () => number): number {
    const { leftMs } = context;
    switch (reason) {
        case "failing-below":
            // The circuit of the route is open, because nearly all its responses were failures. Such a route rarely
            // recovers soon and the caller retries only once, so a late retry is best.
            return Math.min(
                OPEN_CIRCUIT_WAIT_CAP_MS,
                leftMs * HONOURED_WAIT_SHARE_OF_TIME_LEFT * (0.8 + 0.3 * rand()),
            );
        case "overload":
        case "queue-timeout":
        case "target-shed":
        case "memory":
            return maxOverloadWaitMs(context) * (0.4 + 0.6 * rand());
        case "crashes-targets":
            // Usually longer than the caller waits: the request has no chance before.
            return context.blockedForMs ?? maxOverloadWaitMs(context);
        case "quota":
            return Math.min(leftMs * HONOURED_WAIT_SHARE_OF_TIME_LEFT, context.quotaWaitMs ?? 0);
        case "no-config":
        case "no-target":
        case "draining":
        case "target-down":
        case "wrong-service":
        case "wrong-instance":
        case "link-down":
        case "stopping":
        case "deadline":
        case "unknown-caller":
            return Math.min(
                leftMs * HONOURED_WAIT_SHARE_OF_TIME_LEFT,
                TRANSIENT_BASE_WAIT_MS + TRANSIENT_JITTER_MS * rand(),
            );
    }
}

/** Wait under overload before jitter, which only shortens it. */
function maxOverloadWaitMs({ leftMs, slackMs, overloadDurationMs }: RefusalContext): number {
    const honouredWaitMs = leftMs * HONOURED_WAIT_SHARE_OF_TIME_LEFT;
    const defaultWaitMs = Math.min(MAX_DEFAULT_WAIT_MS, Math.max(MIN_DEFAULT_WAIT_MS, honouredWaitMs));
    const isSustained = overloadDurationMs > SUSTAINED_OVERLOAD_WAIT_COUNT * defaultWaitMs;
    return isSustained && slackMs >= MIN_SLACK_MS
        ? Math.min(slackMs * MAX_WAIT_SHARE_OF_SLACK, honouredWaitMs)
        : defaultWaitMs;
}
