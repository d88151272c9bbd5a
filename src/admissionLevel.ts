/**
 * Admission level of a request: its priority and, within the priority, a hash of the request id. All services
 * compute the same level and therefore shed the same requests.
 */
import type { Kind } from "./types.ts";

export const LEVELS_PER_PRIORITY = 128;

/** Lower levels are more important. `requestId` is a W3C trace id. Its last digits, which are random, are the hash. */
export function levelOf(kind: Kind, requestId: string): number {
    return kind.priority * LEVELS_PER_PRIORITY
        + Number.parseInt(requestId.slice(-6), 16) % LEVELS_PER_PRIORITY;
}
