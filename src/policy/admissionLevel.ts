/**
 * Admission levels. Requests are ordered by level when load is shed: lower levels are more important. A level combines
 * the priority of a request with a hash of its id. The calls that a service makes to handle a request inherit its
 * level, so that all services shed the same requests.
 */
export const LEVELS_PER_PRIORITY = 128;
export const PRIORITY_COUNT = 8;
/** The least important level. */
export const MAX_LEVEL = PRIORITY_COUNT * LEVELS_PER_PRIORITY - 1;

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Level of a request. Priority 0 is the most important; values outside the range 0 to 7 are clamped. */
export function levelOf(priority: number, requestId: string): number {
    return Math.min(Math.max(priority, 0), PRIORITY_COUNT - 1) * LEVELS_PER_PRIORITY
        + levelWithinPriority(requestId);
}

function levelWithinPriority(requestId: string): number {
    const hash = fnv1aHash(requestId);
    return ((hash >>> 16) ^ hash) & (LEVELS_PER_PRIORITY - 1);
}

/** 32-bit FNV-1a hash of a text, or of its first `length` characters. */
export function fnv1aHash(text: string, length = text.length): number {
    let hash = FNV_OFFSET_BASIS;
    for (let index = 0; index < length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    return hash;
}
