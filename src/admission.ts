/**
 * Admission at ingress: how many requests the local target may have in progress. The limit follows the own
 * latency of the target (without the time its calls take) against the latency without a queue, as gradient limits
 * of proxies do. Latency is taken by Little's law, from the requests in progress and the rate at which they end: it
 * shows a queue inside the target before the queued requests end, and has no bias to those that end first.
 * A gradient alone takes a slowed target for a queue inside it, so each decrease is a trial: when latency does not
 * fall with the requests in progress, there was no queue, and the higher latency is the new base.
 */
import type { LevelsState } from "./levels.ts";
import { createLevelsState } from "./levels.ts";
import type { LoadReport } from "./types.ts";

export { MAX_LEVEL } from "./levels.ts";

/** Low, since a cold target takes fewer requests than later; it doubles in one latency until a queue shows. */
const INITIAL_LIMIT = 20;
const MIN_LIMIT = 2;
const MIN_WINDOW_MS = 100;
const MIN_WINDOW_SAMPLES = 30;
/** A trial is judged on more samples, since a wrong verdict is costly. */
const MIN_TRIAL_SAMPLES = 60;
const LONG_WINDOW_MS = 1_000;
/** Enough for a window that has become long. */
const MIN_LONG_WINDOW_SAMPLES = 10;
/** Latency over base at which a queue is assumed; service times vary by as much from window to window. */
const CONGESTION_LATENCY_RATIO = 1.25;
/** Largest decrease at once: a smaller limit would give too few samples to judge the trial. */
const MIN_DECREASE_FACTOR = 0.6;
/** Room above the requests that the target works on, so that its slots do not run empty. */
const HEADROOM_FACTOR = 1.2;
const LIMIT_INCREASE_SHARE = 0.08;
/** Samples after which a base counts as known; an average over fewer differs by a fifth and more. */
const MIN_BASELINE_SAMPLES = 150;
/** Largest weight of one window in a known base: more would follow the windows that are fast by chance. */
const MAX_BASELINE_WEIGHT = 0.2;
/** Fall of the requests in progress that lets a trial be told from the variation of latency. */
const MIN_TRIAL_REDUCTION = 0.25;
/** Decrease of a further trial, and the share of the rate that counts as unchanged after it. */
const PROBE_LIMIT_FACTOR = 0.7;
const SUSTAINED_THROUGHPUT_RATIO = 1;
/** Latency over base below which the target has become faster, and the base says nothing of it any more. */
const SPEEDUP_LATENCY_RATIO = 0.8;
/** Decreases after which one is made large enough to be judged, in case the base has a queue in it. */
const DECREASES_PER_PROBE = 10;
/** Share of the limit that must be in use for latency to tell of a queue. */
const MIN_LIMIT_UTILIZATION = 0.8;
const MAX_ERROR_SHARE = 0.3;
/**
 * Requests of priority 0 may exceed the limit by these factors, while it still grows and later: a trial lowers it by
 * a third, which refused bookings whose own demand fitted.
 */
const SLOW_START_TOP_PRIORITY_FACTOR = 2;
const TOP_PRIORITY_FACTOR = 1.5;

export interface AdmissionState {
    /** Requests that may be in progress at the target at once. */
    readonly limit: number;
    /** Requests with a higher level are refused. */
    readonly cutoff: number;
    readonly inFlight: number;
    /** Requests in progress that wait for calls to other services. */
    readonly awaitingCalls: number;
    readonly levels: LevelsState;
    /** Own latency without a queue in the target. */
    readonly baselineMs?: number | undefined;
    /** Samples in the base. */
    readonly baselineSamples: number;
    readonly latencyRatio: number;
    readonly isInSlowStart: boolean;
    /** Set after a decrease until no more requests are in progress than the limit allows. */
    readonly isSettling: boolean;
    readonly decreases: number;
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
    readonly updatedAt: number;
    /** Integral over the window of the requests in progress that wait for no call, in requests times ms. */
    readonly ownRequestMs: number;
    readonly totalRequestMs: number;
    /**
     * Requests that finished their own work: at their first call, or at their end without one. Counting all at their
     * end would show a queue at each surge, since the rate of ends lags by the time of the calls.
     */
    readonly samples: number;
    readonly completions: number;
    readonly errors: number;
}

function startWindow(now: number): Window {
    return {
        startedAt: now,
        updatedAt: now,
        ownRequestMs: 0,
        totalRequestMs: 0,
        samples: 0,
        completions: 0,
        errors: 0,
    };
}

export function createAdmissionState(): AdmissionState {
    const levels = createLevelsState();
    return {
        limit: INITIAL_LIMIT,
        cutoff: levels.cutoff,
        inFlight: 0,
        awaitingCalls: 0,
        levels,
        baselineSamples: 0,
        latencyRatio: 1,
        isInSlowStart: true,
        isSettling: false,
        decreases: 0,
        window: startWindow(0),
    };
}

export function setLevels(state: AdmissionState, levels: LevelsState): AdmissionState {
    return { ...state, levels, cutoff: levels.cutoff };
}

export function hasCapacity(state: AdmissionState, priority: number): boolean {
    const topPriorityFactor = state.isInSlowStart ? SLOW_START_TOP_PRIORITY_FACTOR : TOP_PRIORITY_FACTOR;
    return state.inFlight < Math.floor(state.limit) * (priority === 0 ? topPriorityFactor : 1);
}

export function loadReport(state: AdmissionState): LoadReport {
    return { level: state.cutoff, inFlight: state.inFlight, limit: Math.floor(state.limit) };
}

function advanceWindow(state: AdmissionState, now: number): AdmissionState {
    const { window } = state;
    const elapsedMs = now - window.updatedAt;
    if (elapsedMs <= 0) return state;
    return {
        ...state,
        window: {
            ...window,
            updatedAt: now,
            ownRequestMs: window.ownRequestMs + elapsedMs * (state.inFlight - state.awaitingCalls),
            totalRequestMs: window.totalRequestMs + elapsedMs * state.inFlight,
        },
    };
}

/** Counts a request that is sent to the target. */
export function onRequestForwarded(state: AdmissionState, now: number): AdmissionState {
    return { ...advanceWindow(state, now), inFlight: state.inFlight + 1 };
}

/** Counts a request that begins (1) or ends (-1) to wait for calls. */
export function onAwaitingCalls(state: AdmissionState, now: number, delta: 1 | -1): AdmissionState {
    return { ...advanceWindow(state, now), awaitingCalls: state.awaitingCalls + delta };
}

/** Counts a request that has finished its own work, and adapts the limit. */
export function onOwnWorkDone(previous: AdmissionState, now: number): AdmissionState {
    const state = advanceWindow(previous, now);
    // Doubles the limit in one latency while it is in use and no queue in the target has been seen.
    // It does not grow before the first base is known, which would else be taken with a queue.
    const isGrowing = state.isInSlowStart && state.baselineMs !== undefined && state.window.errors === 0
        && state.inFlight >= state.limit * MIN_LIMIT_UTILIZATION;
    const { window } = state;
    return evaluateWindow({
        ...state,
        limit: isGrowing ? state.limit + 1 : state.limit,
        window: { ...window, samples: window.samples + 1 },
    }, now);
}

/** Counts a request that has ended at the target; `ok` unless the target itself failed. */
export function onRequestEnded(previous: AdmissionState, now: number, ok: boolean): AdmissionState {
    const state = advanceWindow(previous, now);
    const { levels, window } = state;
    return {
        ...state,
        inFlight: state.inFlight - 1,
        levels: { ...levels, completions: levels.completions + 1 },
        window: { ...window, completions: window.completions + 1, errors: window.errors + (ok ? 0 : 1) },
    };
}

function evaluateWindow(state: AdmissionState, now: number): AdmissionState {
    if (state.isSettling) {
        return state.inFlight <= state.limit
            ? { ...state, isSettling: false, window: startWindow(now) }
            : state;
    }
    const { window } = state;
    const elapsedMs = now - window.startedAt;
    const minSamples = state.trial === undefined ? MIN_WINDOW_SAMPLES : MIN_TRIAL_SAMPLES;
    const requiredSamples = elapsedMs < LONG_WINDOW_MS ? minSamples : MIN_LONG_WINDOW_SAMPLES;
    const minElapsedMs = state.isInSlowStart ? 0 : Math.max(MIN_WINDOW_MS, state.baselineMs ?? 0);
    if (elapsedMs < minElapsedMs || window.samples < requiredSamples) return state;
    return adaptLimit({ ...state, window: startWindow(now) }, window);
}

function adaptLimit(state: AdmissionState, window: Window): AdmissionState {
    const errorShare = window.errors / Math.max(1, window.completions);
    if (errorShare > MAX_ERROR_SHARE) {
        const limit = Math.max(MIN_LIMIT, state.limit * (1 - errorShare / 2));
        return { ...state, limit, isInSlowStart: true, trial: undefined };
    }
    const latencyMs = window.ownRequestMs / window.samples;
    const inFlight = window.totalRequestMs / (window.updatedAt - window.startedAt);
    const evaluated = evaluateTrial(state, latencyMs, inFlight);
    if (evaluated.isSettling) return evaluated;
    const baselineMs = evaluated.baselineMs ?? latencyMs;
    const isUtilized = inFlight >= evaluated.limit * MIN_LIMIT_UTILIZATION;
    const ratio = latencyMs / baselineMs;
    const smoothedRatio = evaluated.latencyRatio + 0.4 * (ratio - evaluated.latencyRatio);
    const isLatencySpike = ratio > CONGESTION_LATENCY_RATIO + 2 / Math.sqrt(window.samples);
    if (
        isUtilized && evaluated.baselineSamples >= MIN_BASELINE_SAMPLES
        && ratio < SPEEDUP_LATENCY_RATIO - 2 / Math.sqrt(window.samples)
    ) {
        return startProbe({ ...evaluated, baselineMs: latencyMs, isInSlowStart: false }, {
            inFlight,
            latencyMs,
        });
    }
    if (isUtilized && (isLatencySpike || smoothedRatio > CONGESTION_LATENCY_RATIO)) {
        const decreases = evaluated.decreases + 1;
        if (decreases % DECREASES_PER_PROBE === 0) {
            return startProbe({ ...evaluated, baselineMs, decreases }, { inFlight, latencyMs });
        }
        const decreaseFactor = Math.max(
            MIN_DECREASE_FACTOR,
            HEADROOM_FACTOR / (isLatencySpike ? ratio : smoothedRatio),
        );
        return {
            ...evaluated,
            baselineMs,
            decreases,
            latencyRatio: 1,
            limit: Math.max(MIN_LIMIT, Math.min(evaluated.limit, inFlight * decreaseFactor + 1)),
            isInSlowStart: false,
            isSettling: true,
            trial: evaluated.trial ?? { inFlight, latencyMs },
        };
    }
    const updated = updateBaseline(
        { ...evaluated, baselineMs, latencyRatio: smoothedRatio },
        window.samples,
        latencyMs,
        isUtilized,
    );
    if (!isUtilized || evaluated.isInSlowStart) return updated;
    return {
        ...updated,
        limit: evaluated.limit + Math.max(1, evaluated.limit * LIMIT_INCREASE_SHARE),
        trial: undefined,
    };
}

/** Lowers the limit so far that it shows whether requests queue in the target. */
function startProbe(state: AdmissionState, trial: Trial): AdmissionState {
    const limit = Math.max(MIN_LIMIT, trial.inFlight * PROBE_LIMIT_FACTOR);
    return { ...state, latencyRatio: 1, limit, isSettling: true, trial };
}

/** Moves the base by a window's latency, but not up while requests may be queued in the target. */
function updateBaseline(
    state: AdmissionState & { readonly baselineMs: number; },
    samples: number,
    latencyMs: number,
    isUtilized: boolean,
): AdmissionState {
    const isKnown = state.baselineSamples >= MIN_BASELINE_SAMPLES;
    if (latencyMs > state.baselineMs && isKnown && (isUtilized || state.isInSlowStart)) return state;
    const baselineSamples = Math.min(MIN_BASELINE_SAMPLES, state.baselineSamples + samples);
    const weight = isKnown
        ? Math.min(MAX_BASELINE_WEIGHT, samples / baselineSamples)
        : samples / baselineSamples;
    return {
        ...state,
        baselineSamples,
        baselineMs: state.baselineMs + weight * (latencyMs - state.baselineMs),
    };
}

/**
 * Judges the last decrease. Latency that did not fall: there was no queue, and the target is slower. Throughput that
 * stayed: there still is a queue, and the limit falls on. Otherwise the slots lie between, and the lower latency is
 * that without a queue; without this step a base that was taken under load would last.
 */
function evaluateTrial(state: AdmissionState, latencyMs: number, inFlight: number): AdmissionState {
    const { trial } = state;
    if (trial === undefined) return state;
    const reduction = 1 - inFlight / trial.inFlight;
    if (reduction < MIN_TRIAL_REDUCTION) return state;
    if (latencyMs > trial.latencyMs * (1 - 0.4 * reduction)) {
        const limit = Math.max(state.limit, trial.inFlight);
        return { ...state, trial: undefined, baselineMs: latencyMs, latencyRatio: 1, limit };
    }
    const baselineMs = state.baselineMs ?? latencyMs;
    const throughput = trial.inFlight / trial.latencyMs;
    if (inFlight / latencyMs > throughput * SUSTAINED_THROUGHPUT_RATIO) {
        return startProbe({ ...state, baselineMs: Math.min(baselineMs, latencyMs) }, { inFlight, latencyMs });
    }
    const limit = Math.max(
        state.limit,
        Math.min(trial.inFlight, HEADROOM_FACTOR * throughput * latencyMs + 1),
    );
    return { ...state, trial: undefined, baselineMs: (baselineMs + latencyMs) / 2, latencyRatio: 1, limit };
}
