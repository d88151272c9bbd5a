/**
 * Admission at ingress: how many requests the local target may have in progress. The limit follows the own
 * latency of the target (without the time its calls take) against the latency without a queue, as gradient limits
 * of proxies do. A gradient alone takes a slowed target for a queue inside it, so each decrease is a trial: when
 * latency does not fall with the requests in progress, there was no queue, and the higher latency is the new base.
 */
import type { LevelsState } from "./levels.ts";
import { createLevelsState } from "./levels.ts";
import type { LoadReport } from "./types.ts";

export { MAX_LEVEL } from "./levels.ts";

/** Low, since a cold target takes fewer requests than later; it doubles until latency rises. */
const FIRST_LIMIT = 20;
const MIN_LIMIT = 2;
const WINDOW_MS = 100;
const LONGEST_WINDOW_MS = 1_000;
const WINDOW_SAMPLES = 30;
/** Enough for a window that has become long. */
const FEWEST_SAMPLES = 10;
/** Latency over base at which a queue is assumed; service times vary by as much from window to window. */
const CONGESTED_RATIO = 1.2;
/** Largest decrease at once: a smaller limit would give too few samples to judge the trial. */
const LARGEST_DECREASE = 0.6;
/** Room above the requests that the target works on, so that its slots do not run empty. */
const HEADROOM = 1.1;
const GROWTH = 0.08;
/** Samples after which a base counts as known; an average over fewer differs by a fifth and more. */
const KNOWN_SAMPLES = 150;
/** Fall of the requests in progress that lets a trial be told from the variation of latency. */
const TRIAL_FALL = 0.25;
/** Share of the limit that must be in use for latency to tell of a queue. */
const USED_SHARE = 0.8;
const ERROR_SHARE = 0.3;

export interface AdmissionState {
    /** Requests that may be in progress at the target at once. */
    readonly limit: number;
    /** Requests with a higher level are refused. */
    readonly level: number;
    readonly inFlight: number;
    readonly levels: LevelsState;
    /** Own latency without a queue in the target. */
    readonly baseMs?: number | undefined;
    /** Samples in the base. */
    readonly samples: number;
    readonly ratio: number;
    readonly growsFast: boolean;
    /**
     * Requests that end before this time are no samples. After a change, and at first, those that end soonest are
     * the shortest ones, and a limit that took them for typical collapsed.
     */
    readonly settledAt: number;
    /** Set after a decrease until no more requests are in progress than the limit allows. */
    readonly isDraining: boolean;
    /** Latency with the time spent in calls. */
    readonly totalMs: number;
    readonly trial?: Trial | undefined;
    readonly window: Window;
}

/** What was seen before a decrease. */
interface Trial {
    readonly inFlight: number;
    readonly latencyMs: number;
}

interface Window {
    readonly startedAt: number;
    readonly count: number;
    readonly errors: number;
    readonly latencyMs: number;
    readonly totalMs: number;
    readonly inFlight: number;
}

const NO_SAMPLES: Window = { startedAt: 0, count: 0, errors: 0, latencyMs: 0, totalMs: 0, inFlight: 0 };

export function createAdmissionState(): AdmissionState {
    const levels = createLevelsState();
    return {
        limit: FIRST_LIMIT,
        level: levels.cutoff,
        inFlight: 0,
        levels,
        samples: 0,
        ratio: 1,
        growsFast: true,
        isDraining: false,
        settledAt: 0,
        totalMs: 0,
        window: NO_SAMPLES,
    };
}

export function setLevels(state: AdmissionState, levels: LevelsState): AdmissionState {
    return { ...state, levels, level: levels.cutoff };
}

export function hasCapacity(state: AdmissionState): boolean {
    return state.inFlight < Math.floor(state.limit);
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
    /** From the moment at which the request was sent to the target. */
    readonly latencyMs: number;
    /** Latency without the time spent in calls to other services. */
    readonly ownMs: number;
    readonly ok: boolean;
}

/** Counts a request that has ended at the target, and adapts the limit. */
export function onEnded(state: AdmissionState, sample: Sample): AdmissionState {
    const { levels } = state;
    const ended = {
        ...state,
        inFlight: state.inFlight - 1,
        levels: { ...levels, completions: levels.completions + 1 },
    };
    return sampleLimit(growFast(ended, sample), state.inFlight, sample);
}

/** Doubles the limit in one latency while it is in use and no queue in the target has been seen. */
function growFast(state: AdmissionState, sample: Sample): AdmissionState {
    const isUsed = state.inFlight + 1 >= state.limit * USED_SHARE;
    return state.growsFast && isUsed && sample.ok ? { ...state, limit: state.limit + 1 } : state;
}

function sampleLimit(state: AdmissionState, inFlight: number, sample: Sample): AdmissionState {
    if (state.isDraining && state.inFlight <= state.limit) {
        return { ...state, isDraining: false, settledAt: sample.now + state.totalMs };
    }
    if (state.isDraining || sample.now < state.settledAt) return state;
    const { window } = state;
    const next: Window = {
        startedAt: window.count === 0 ? sample.now : window.startedAt,
        count: window.count + 1,
        errors: window.errors + (sample.ok ? 0 : 1),
        latencyMs: window.latencyMs + (sample.ok ? sample.ownMs : 0),
        totalMs: window.totalMs + sample.latencyMs,
        inFlight: window.inFlight + inFlight,
    };
    const elapsedMs = sample.now - next.startedAt;
    const wanted = elapsedMs < LONGEST_WINDOW_MS ? WINDOW_SAMPLES : FEWEST_SAMPLES;
    if (elapsedMs < WINDOW_MS || next.count < wanted) return { ...state, window: next };
    const totalMs = next.totalMs / next.count;
    const closed = { ...state, window: NO_SAMPLES, totalMs };
    // The first window is none: the longest requests have not ended yet.
    if (state.totalMs === 0) return { ...closed, settledAt: sample.now + totalMs };
    return adaptLimit(closed, next);
}

function adaptLimit(state: AdmissionState, window: Window): AdmissionState {
    const errorShare = window.errors / window.count;
    if (errorShare > ERROR_SHARE) {
        return { ...state, limit: Math.max(MIN_LIMIT, state.limit * (1 - errorShare / 2)) };
    }
    const latencyMs = window.latencyMs / (window.count - window.errors);
    const inFlight = window.inFlight / window.count;
    const judged = judgeTrial(state, latencyMs, inFlight);
    const baseMs = judged.baseMs ?? latencyMs;
    const isUsed = inFlight >= judged.limit * USED_SHARE;
    const ratio = latencyMs / baseMs;
    const smoothed = judged.ratio + 0.4 * (ratio - judged.ratio);
    const noise = 2 / Math.sqrt(window.count);
    const isJump = ratio > CONGESTED_RATIO + noise;
    if (isUsed && (isJump || smoothed > CONGESTED_RATIO)) {
        const decrease = Math.max(LARGEST_DECREASE, HEADROOM / (isJump ? ratio : smoothed));
        return {
            ...judged,
            baseMs,
            ratio: 1,
            limit: Math.max(MIN_LIMIT, Math.min(judged.limit, inFlight * decrease + 1)),
            growsFast: false,
            isDraining: true,
            trial: judged.trial ?? { inFlight, latencyMs },
        };
    }
    const followed = followBase({ ...judged, baseMs, ratio: smoothed }, window.count, latencyMs, isUsed);
    if (!isUsed || judged.growsFast) return followed;
    return { ...followed, limit: judged.limit + Math.max(1, judged.limit * GROWTH), trial: undefined };
}

/** Moves the base by a window's latency, but not up while requests may be queued in the target. */
function followBase(
    state: AdmissionState & { readonly baseMs: number; },
    count: number,
    latencyMs: number,
    isUsed: boolean,
): AdmissionState {
    const isKnown = state.samples >= KNOWN_SAMPLES;
    if (latencyMs > state.baseMs && isKnown && (isUsed || state.growsFast)) return state;
    const samples = Math.min(KNOWN_SAMPLES, state.samples + count);
    return { ...state, samples, baseMs: state.baseMs + count / samples * (latencyMs - state.baseMs) };
}

/** Whether the last decrease made latency fall, as it does when requests queued in the target. */
function judgeTrial(state: AdmissionState, latencyMs: number, inFlight: number): AdmissionState {
    const { trial } = state;
    if (trial === undefined) return state;
    const fall = 1 - inFlight / trial.inFlight;
    if (fall < TRIAL_FALL) return state;
    const isSlower = latencyMs > trial.latencyMs * (1 - 0.4 * fall);
    return isSlower
        ? {
            ...state,
            trial: undefined,
            baseMs: latencyMs,
            ratio: 1,
            limit: Math.max(state.limit, trial.inFlight),
        }
        : { ...state, trial: undefined };
}
