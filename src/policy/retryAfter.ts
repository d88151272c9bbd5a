/**
 * When a caller that was refused may come back. Refusals under overload are spread over a part of the time that the
 * caller has, so that the refused do not return together; other refusals end soon.
 */
import type { RefusalReason } from "../mesh/types.ts";

const SOON_MS = 60;
const SOON_SPREAD_MS = 100;
const MIN_SPREAD_MS = 80;
const MAX_SPREAD_MS = 1500;
/** Callers honour a wait of up to a third of the time that they have left. */
const MAX_FAILING_MS = 5000;
const SPREAD_SHARE = 0.3;

export function retryAfterMs(reason: RefusalReason, leftMs: number, rand: () => number): number {
    switch (reason) {
        case "failing-below":
            // What fails below seldom recovers soon; the caller has one more try and is best served by a late one.
            return Math.min(MAX_FAILING_MS, leftMs * SPREAD_SHARE * (0.8 + 0.3 * rand()));
        case "overload":
        case "queue-timeout":
        case "target-shed":
        case "memory":
        case "crashes-targets": {
            const spread = Math.min(MAX_SPREAD_MS, Math.max(MIN_SPREAD_MS, leftMs * SPREAD_SHARE));
            return spread * (0.4 + 0.6 * rand());
        }
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
