/**
 * Selects the requests of which every step is logged. A fixed share is sampled by a hash of the request id, so that all
 * nodes select the same requests without coordination. Requests can also be selected by a prefix of their id. The id
 * of a nested call starts with the id of the client request and a dot, and only the part before the first dot is
 * hashed, so a request is traced together with all its calls.
 */
import { fnv1aHash } from "../policy/admissionLevel.ts";

/** Returns whether a request is traced. */
export type TraceFilter = (requestId: string) => boolean;

export interface TraceFilterOptions {
    /** Prefixes of request ids that are traced in addition to the sampled ones. */
    readonly prefixes?: readonly string[];
    /** Whether 1 in 128 requests is sampled. */
    readonly sampled?: boolean;
}

/** A request is sampled if all these bits of its hash are set: 1 in 128. Its level is derived from other bits. */
const SAMPLE_MASK = 0x3f800000;

export function createTraceFilter({ prefixes = [], sampled = true }: TraceFilterOptions = {}): TraceFilter {
    return requestId => {
        if (prefixes.length > 0 && prefixes.some(prefix => requestId.startsWith(prefix))) return true;
        return sampled && (fnv1aHash(requestId, rootIdLength(requestId)) & SAMPLE_MASK) === SAMPLE_MASK;
    };
}

function rootIdLength(requestId: string): number {
    const dot = requestId.indexOf(".");
    return dot < 0 ? requestId.length : dot;
}
