/**
 * Retry-After times of refused requests. At the beginning of an overload the caller gets a long wait, after which the
 * overload may have passed. An overload that has outlasted such waits is expected to go on, and a long wait would only
 * make the response late: the caller then retries while a response can still meet the latency objective of the route.
 * Jitter keeps refused callers from retrying at the same time. Refusals for transient reasons get a short wait.
 */
import type { RefusalReason } from "../mesh/types.ts";

export interface RefusalContext {
    /** Time until the caller's deadline, ms. */
    readonly leftMs: number;
    /** Time left of the latency objective minus the mean latency of the route, ms; may be negative. */
    readonly slackMs: number;
    /** How long the route has been overloaded, ms. */
    readonly overloadDurationMs: number;
}

const OVERLOAD_REASONS: readonly RefusalReason[] = ["overload", "queue-timeout", "target-shed", "memory"];
const TRANSIENT_MIN_WAIT_MS = 60;
const TRANSIENT_JITTER_MS = 100;
/** Share of the slack that a caller may wait; the rest is for responses that take longer than the mean. */
const MAX_WAIT_SHARE_OF_SLACK = 0.5;
/** With less slack than this, a retry is unlikely to meet the latency objective. */
const MIN_SLACK_MS = 25;
/** An overload that has outlasted this many default waits is expected to go on. */
const SUSTAINED_OVERLOAD_WAIT_COUNT = 2;
const OVERLOAD_WAIT_FLOOR_MS = 80;
const OVERLOAD_WAIT_CAP_MS = 1500;
const FAILING_DEPENDENCY_WAIT_CAP_MS = 5000;
/** Callers honour a wait of up to a third of the time left until their deadline. */
const MAX_WAIT_SHARE_OF_TIME_LEFT = 0.3;

/** Whether a refusal with this reason means that demand exceeds capacity. */
export function isOverloadReason(reason: RefusalReason): boolean {
    return OVERLOAD_REASONS.includes(reason);
}

/** Time in ms after which a refused caller may retry; `rand` returns numbers in [0, 1). */
export function retryAfterMs(reason: RefusalReason, context: RefusalContext, rand: () => number): number {
    const { leftMs } = context;
    switch (reason) {
        case "failing-below":
            // Failing dependencies seldom recover soon, and the caller retries only once: a late retry is best.
            return Math.min(
                FAILING_DEPENDENCY_WAIT_CAP_MS,
                leftMs * MAX_WAIT_SHARE_OF_TIME_LEFT * (0.8 + 0.3 * rand()),
            );
        case "overload":
        case "queue-timeout":
        case "target-shed":
        case "memory":
        case "crashes-targets":
            return maxOverloadWaitMs(context) * (0.4 + 0.6 * rand());
        case "no-config":
        case "no-target":
        case "draining":
        case "target-down":
        case "wrong-service":
        case "wrong-instance":
        case "link-down":
        case "stopping":
        case "deadline":
            return Math.min(
                leftMs * MAX_WAIT_SHARE_OF_TIME_LEFT,
                TRANSIENT_MIN_WAIT_MS + TRANSIENT_JITTER_MS * rand(),
            );
    }
}

/** Longest wait under overload, before jitter. */
function maxOverloadWaitMs({ leftMs, slackMs, overloadDurationMs }: RefusalContext): number {
    const maxHonouredWaitMs = leftMs * MAX_WAIT_SHARE_OF_TIME_LEFT;
    const defaultWaitMs = Math.min(OVERLOAD_WAIT_CAP_MS, Math.max(OVERLOAD_WAIT_FLOOR_MS, maxHonouredWaitMs));
    const isSustained = overloadDurationMs > SUSTAINED_OVERLOAD_WAIT_COUNT * defaultWaitMs;
    return isSustained && slackMs >= MIN_SLACK_MS
        ? Math.min(slackMs * MAX_WAIT_SHARE_OF_SLACK, maxHonouredWaitMs)
        : defaultWaitMs;
}
