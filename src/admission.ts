/**
 * Admission at ingress: how many requests the local target may have in progress, and up to which level
 * requests are admitted.
 */
import type { LoadReport } from "./types.ts";

const FIRST_LIMIT = 20;
/** The least important level: priority 7, hash bucket 127. */
export const MAX_LEVEL = 8 * 128 - 1;

export interface AdmissionState {
    /** Requests that may be in progress at the target at once. */
    readonly limit: number;
    /** Requests with a higher level are refused. */
    readonly level: number;
    readonly inFlight: number;
}

export function createAdmissionState(): AdmissionState {
    return { limit: FIRST_LIMIT, level: MAX_LEVEL, inFlight: 0 };
}

export function hasCapacity(state: AdmissionState): boolean {
    return state.inFlight < state.limit;
}

export function loadReport(state: AdmissionState): LoadReport {
    return { level: state.level, inFlight: state.inFlight, limit: Math.floor(state.limit) };
}

/** Counts a request that is sent to the target. */
export function onForwarded(state: AdmissionState): AdmissionState {
    return { ...state, inFlight: state.inFlight + 1 };
}

export interface Sample {
    readonly now: number;
    readonly latencyMs: number;
    readonly ok: boolean;
}

/** Counts a request that has ended at the target, and adapts the limit. */
export function onEnded(state: AdmissionState, sample: Sample): AdmissionState {
    const inFlight = state.inFlight - 1;
    const limit = sample.ok ? state.limit + 1 / state.limit : Math.max(1, state.limit * 0.9);
    return { ...state, inFlight, limit };
}
