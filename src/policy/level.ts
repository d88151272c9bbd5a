/**
 * The admission level of a request: its priority, then a hash of its id. Lower levels are more important. Calls
 * that a run makes inherit the level, so that all services shed the same requests.
 */
export const BUCKETS = 128;
const PRIORITIES = 8;
/** The least important level. */
export const MAX_LEVEL = PRIORITIES * BUCKETS - 1;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

export function levelOf(priority: number, requestId: string): number {
    return Math.min(Math.max(priority, 0), PRIORITIES - 1) * BUCKETS + bucketOf(requestId);
}

function bucketOf(text: string): number {
    const hash = hashOf(text);
    return ((hash >>> 16) ^ hash) & (BUCKETS - 1);
}

/** 32-bit FNV-1a of a text, or of its first `length` characters. */
export function hashOf(text: string, length = text.length): number {
    let hash = FNV_OFFSET;
    for (let index = 0; index < length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    return hash;
}
