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
    readonly overloadMs: number;
}

const OVERLOAD_REASONS: readonly RefusalReason[] = ["overload", "queue-timeout", "target-shed", "memory"];
const SOON_MS = 60;
const SOON_SPREAD_MS = 100;
/** Part of the slack that a caller may wait; the rest is for answers that take longer than the mean. */
const SLACK_SHARE = 0.5;
/** With less slack than this, a caller that returns can hardly be answered in time. */
const MIN_SLACK_MS = 25;
/** An overload that has outlasted this many late waits is expected to go on. */
const LASTING_WAITS = 2;
const MIN_SPREAD_MS = 80;
const MAX_SPREAD_MS = 1500;
/** Callers honour a wait of up to a third of the time that they have left. */
const MAX_FAILING_MS = 5000;
const SPREAD_SHARE = 0.3;

/** Whether a refusal tells that there is more demand than capacity. */
export function isOverload(reason: RefusalReason): boolean {
    return OVERLOAD_REASONS.includes(reason);
}

/** Time after which a refused caller may come back, ms; `rand` gives numbers in [0, 1). */
export function retryAfterMs(reason: RefusalReason, context: RefusalContext, rand: () => number): number {
    const { leftMs } = context;
    switch (reason) {
        case "failing-below":
            // What fails below seldom recovers soon; the caller has one more try and is best served by a late one.
            return Math.min(MAX_FAILING_MS, leftMs * SPREAD_SHARE * (0.8 + 0.3 * rand()));
        case "overload":
        case "queue-timeout":
        case "target-shed":
        case "memory":
        case "crashes-targets":
            return overloadSpreadMs(context) * (0.4 + 0.6 * rand());
        case "no-config":
        case "no-target":
        case "draining":
        case "target-down":
        case "wrong-service":
        case "wrong-instance":
        case "link-down":
        case "stopping":
        case "deadline":
            return Math.min(leftMs * SPREAD_SHARE, SOON_MS + SOON_SPREAD_MS * rand());
    }
}

/** Longest wait under overload. */
function overloadSpreadMs({ leftMs, slackMs, overloadMs }: RefusalContext): number {
    const mostMs = leftMs * SPREAD_SHARE;
    const lateMs = Math.min(MAX_SPREAD_MS, Math.max(MIN_SPREAD_MS, mostMs));
    const isLasting = overloadMs > LASTING_WAITS * lateMs;
    return isLasting && slackMs >= MIN_SLACK_MS ? Math.min(slackMs * SLACK_SHARE, mostMs) : lateMs;
}
