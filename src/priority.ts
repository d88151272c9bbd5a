/**
 * Admission level of a request. It consists of the priority and, within it, a hash of the request id, so that all
 * services shed the same requests.
 */
import type { Kind } from "./types.ts";

export const LEVELS_PER_PRIORITY = 128;

/** Lower levels are more important. `requestId` is a W3C trace id, the last digits of which are random. */
export function levelOf(kind: Kind, requestId: string): number {
    return kind.priority * LEVELS_PER_PRIORITY
        + Number.parseInt(requestId.slice(-6), 16) % LEVELS_PER_PRIORITY;
}
