/**
 * Which requests leave a line for each step. A fixed share is drawn by a hash of the id, so that all nodes draw the
 * same requests without telling each other; requests can also be chosen by the beginning of their id. The id of a
 * call begins with that of the client's request and a dot, so a chain is traced as a whole.
 */
import { fnv1aHash } from "../policy/admissionLevel.ts";

/** Whether a request with this id is traced. */
export type TraceFilter = (requestId: string) => boolean;

export interface TraceFilterOptions {
    /** Beginnings of the ids that are traced besides the drawn ones. */
    readonly prefixes?: readonly string[];
    /** Whether a share of 1 in 128 of the requests is traced. */
    readonly sampled?: boolean;
}

/** Bits of the hash that must all be set: a request in 128. The level of a request comes from other bits. */
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
