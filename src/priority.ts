/** The admission level of a request: its priority, then a hash of its id, so that all services shed the same ones. */
import type { Kind } from "./types.ts";

export const LEVELS_PER_PRIORITY = 128;

/** Lower levels are more important. `requestId` is a trace id, whose last digits are random by the W3C rules. */
export function levelOf(kind: Kind, requestId: string): number {
    return kind.priority * LEVELS_PER_PRIORITY
        + Number.parseInt(requestId.slice(-6), 16) % LEVELS_PER_PRIORITY;
}
