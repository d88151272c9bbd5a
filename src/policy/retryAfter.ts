/**
 * When a caller that was refused may come back. At the beginning of an overload it returns late, when the overload may
 * have passed. One that has outlasted such waits is expected to go on, and a late return would then only make the
 * answer late: the caller returns while it can still be answered within the latency objective of its route. Refusals
 * are spread over the time, so that the refused do not return together. Other refusals end soon.
 */
import type { RefusalReason } from "../mesh/types.ts";

export interface RefusalContext {
    /** Time until the caller's deadline, ms. */
    readonly leftMs: number;
    /** Time that is left of the latency objective, less what an answer takes on average, ms; may be negative. */
    readonly slackMs: number;
    /** For how long the route has been overloaded, ms. */
    readonly overloadDurationMs: number;
}

const OVERLOAD_REASONS: readonly RefusalReason[] = ["overload", "queue-timeout", "target-shed", "memory"];
const TRANSIENT_MIN_WAIT_MS = 60;
const TRANSIENT_JITTER_MS = 100;
/** Part of the slack that a caller may wait; the rest is for answers that take longer than the mean. */
const MAX_WAIT_SHARE_OF_SLACK = 0.5;
/** With less slack than this, a caller that returns can hardly be answered in time. */
const MIN_SLACK_MS = 25;
/** An overload that has outlasted this many late waits is expected to go on. */
const SUSTAINED_OVERLOAD_WAIT_COUNT = 2;
const OVERLOAD_WAIT_FLOOR_MS = 80;
const OVERLOAD_WAIT_CAP_MS = 1500;
/** Callers honour a wait of up to a third of the time that they have left. */
const FAILING_WAIT_CAP_MS = 5000;
const MAX_WAIT_SHARE_OF_TIME_LEFT = 0.3;

/** Whether a refusal tells that there is more demand than capacity. */
export function isOverloadReason(reason: RefusalReason): boolean {
    return OVERLOAD_REASONS.includes(reason);
}

/** Time after which a refused caller may come back, ms; `rand` gives numbers in [0, 1). */
export function retryAfterMs(reason: RefusalReason, context: RefusalContext, rand: () => number): number {
    const { leftMs } = context;
    switch (reason) {
        case "failing-below":
            // What fails below seldom recovers soon; the caller has one more try and is best served by a late one.
            return Math.min(FAILING_WAIT_CAP_MS, leftMs * MAX_WAIT_SHARE_OF_TIME_LEFT * (0.8 + 0.3 * rand()));
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

/** Longest wait under overload. */
function maxOverloadWaitMs({ leftMs, slackMs, overloadDurationMs }: RefusalContext): number {
    const maxHonouredWaitMs = leftMs * MAX_WAIT_SHARE_OF_TIME_LEFT;
    const defaultWaitMs = Math.min(OVERLOAD_WAIT_CAP_MS, Math.max(OVERLOAD_WAIT_FLOOR_MS, maxHonouredWaitMs));
    const isSustained = overloadDurationMs > SUSTAINED_OVERLOAD_WAIT_COUNT * defaultWaitMs;
    return isSustained && slackMs >= MIN_SLACK_MS
        ? Math.min(slackMs * MAX_WAIT_SHARE_OF_SLACK, maxHonouredWaitMs)
        : defaultWaitMs;
}
