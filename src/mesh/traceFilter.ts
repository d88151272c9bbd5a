/**
 * Selects the requests whose steps are logged. A fixed share is sampled by a hash of the request ID, so that
 * all nodes select the same requests without coordination; requests can also be selected by an ID prefix. The
 * ID of a call starts with that of the client's request and a dot, so a chain of calls is traced as a whole.
 */
import { fnv1aHash } from "../policy/admissionLevel.ts";

/** Returns whether a request is traced. */
export type TraceFilter = (requestId: string) => boolean;

export interface TraceFilterOptions {
    /** Prefixes of request IDs that are traced in addition to the sampled ones. */
    readonly prefixes?: readonly string[];
    /** Whether 1 in 128 requests is sampled. */
    readonly sampled?: boolean;
}

/** Hash bits that must all be set: 1 request in 128. The level of a request is derived from other bits. */
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
