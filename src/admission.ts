/**
 * Adaptive concurrency limit of the local target. Like the gradient limits of proxies, it compares the target's own
 * latency with a baseline, which is the latency without a queue in the target. The own latency excludes the time
 * that a request waits for calls to other services.
 *
 * Latency is computed by Little's law from the requests in flight and the rate at which they complete. It therefore
 * shows a queue in the target before the queued requests complete, and is not biased towards requests that complete
 * first.
 *
 * A gradient alone cannot tell a slower target from a queue in the target. Each decrease of the limit because of
 * latency is therefore a trial: if latency does not fall along with the requests in flight, there was no queue, and
 * the higher latency becomes the baseline. A decrease because of errors is no trial.
 */
import type { CutoffState } from "./cutoff.ts";
import { createCutoffState } from "./cutoff.ts";
import type { LoadReport } from "./types.ts";

export { MAX_LEVEL } from "./cutoff.ts";

/**
 * Low, because a cold target can process fewer requests than a warm one. In slow start, the limit doubles within one
 * latency until a queue shows.
 */
const INITIAL_LIMIT = 20;
const MIN_LIMIT = 2;
const MIN_WINDOW_MS = 100;
const MIN_WINDOW_SAMPLES = 30;
/** Trials need more samples than other windows, because a wrong conclusion is costly. */
const MIN_TRIAL_SAMPLES = 60;
const LONG_WINDOW_MS = 1_000;
/** Samples that suffice once a window has lasted for `LONG_WINDOW_MS`. */
const MIN_LONG_WINDOW_SAMPLES = 10;
/**
 * Ratio of latency to baseline above which a queue is assumed. Below it, the difference may be normal variation of
 * service times between windows.
 */
const CONGESTION_LATENCY_RATIO = 1.25;
/** Lower bound on the factor of one decrease. A smaller limit would give too few samples to evaluate the trial. */
const MIN_DECREASE_FACTOR = 0.6;
/** Admits somewhat more requests than the target processes at once, so that its slots are never idle. */
const HEADROOM_FACTOR = 1.2;
/** Relative increase of the limit in a window without a queue, after slow start. */
const LIMIT_INCREASE_SHARE = 0.08;
/** Samples after which the baseline counts as known. A mean over fewer samples is off by 20 % or more. */
const MIN_BASELINE_SAMPLES = 150;
/** Maximum weight of one window in a known baseline. A higher one would follow windows that are fast by chance. */
const MAX_BASELINE_WEIGHT = 0.2;
/**
 * A trial is evaluated only after the requests in flight have decreased by this share. The effect of a smaller
 * decrease is not larger than the variation of latency.
 */
const MIN_TRIAL_REDUCTION = 0.25;
/** A probe is a trial that lowers the limit to this factor of the requests in flight. */
const PROBE_LIMIT_FACTOR = 0.7;
/** Ratio of the throughput after a trial to that before it above which throughput has not fallen. */
const SUSTAINED_THROUGHPUT_RATIO = 1;
/** Ratio of latency to baseline below which the target has become faster, so that the baseline is outdated. */
const SPEEDUP_LATENCY_RATIO = 0.8;
/**
 * One in this many decreases is a probe, which is large enough to be evaluated. It corrects a baseline that was
 * measured while requests were queued.
 */
const DECREASES_PER_PROBE = 10;
/** Share of the limit that must be in use before latency can indicate a queue. */
const MIN_LIMIT_UTILIZATION = 0.8;
/**
 * Share of failed requests above which the limit is lowered regardless of latency, because a target that fails fast
 * has a low latency.
 */
const MAX_ERROR_SHARE = 0.3;
/**
 * Requests of priority 0 may exceed the limit by these factors, during slow start and afterwards. Otherwise, a trial,
 * which lowers the limit by about a third, would cause refusals of priority 0 although its own demand is within the
 * capacity.
 */
const SLOW_START_TOP_PRIORITY_FACTOR = 2;
const TOP_PRIORITY_FACTOR = 1.5;

export interface AdmissionState {
    /** Maximum number of requests in flight at the target. */
    readonly limit: number;
    /** Requests with a higher level are refused. */
    readonly cutoff: number;
    readonly inFlight: number;
    /** Requests in flight at the target that are waiting for calls to other services. */
    readonly awaitingCalls: number;
    readonly cutoffState: CutoffState;
    /** Own latency without a queue in the target, in ms. */
    readonly baselineMs?: number | undefined;
    /** Samples in the baseline, up to the number at which it counts as known. */
    readonly baselineSamples: number;
    /** Smoothed ratio of latency to baseline. */
    readonly latencyRatio: number;
    readonly isInSlowStart: boolean;
    /** Set after a decrease because of latency, until the requests in flight have fallen to the limit. */
    readonly isSettling: boolean;
    readonly decreases: number;
    readonly trial?: Trial | undefined;
    readonly window: Window;
}

/**
 * Measurements from before the limit was lowered, for comparison. A further decrease before the evaluation keeps
 * them, and a probe replaces them.
 */
interface Trial {
    readonly inFlight: number;
    readonly latencyMs: number;
}

interface Window {
    readonly startedAt: number;
    readonly updatedAt: number;
    /** Requests in flight that are not waiting for calls, integrated over the window. In requests times ms. */
    readonly ownRequestMs: number;
    /** All requests in flight, integrated over the window. In requests times ms. */
    readonly totalRequestMs: number;
    /**
     * Requests that finished their own work: at their first call or, if they made none, at their end. Counting every
     * request at its end would show a queue at each surge, because completions lag by the duration of the calls.
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
    const cutoffState = createCutoffState();
    return {
        limit: INITIAL_LIMIT,
        cutoff: cutoffState.cutoff,
        inFlight: 0,
        awaitingCalls: 0,
        cutoffState,
        baselineSamples: 0,
        latencyRatio: 1,
        isInSlowStart: true,
        isSettling: false,
        decreases: 0,
        window: startWindow(0),
    };
}

export function setCutoffState(state: AdmissionState, cutoffState: CutoffState): AdmissionState {
    return { ...state, cutoffState, cutoff: cutoffState.cutoff };
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

/** Counts a request that is forwarded to the target. */
export function onRequestForwarded(state: AdmissionState, now: number): AdmissionState {
    return { ...advanceWindow(state, now), inFlight: state.inFlight + 1 };
}

/** Counts a request that starts (1) or stops (-1) waiting for calls to other services. */
export function onAwaitingCalls(state: AdmissionState, now: number, delta: 1 | -1): AdmissionState {
    return { ...advanceWindow(state, now), awaitingCalls: state.awaitingCalls + delta };
}

/** Counts a request that has finished its own work, and adapts the limit at the end of a window. */
export function onOwnWorkDone(previous: AdmissionState, now: number): AdmissionState {
    const state = advanceWindow(previous, now);
    // In slow start, each completion raises the limit by one while the limit is in use, so that it doubles within one
    // latency. It must not grow before the first baseline has been measured, which would otherwise include a queue.
    const isGrowing = state.isInSlowStart && state.baselineMs !== undefined && state.window.errors === 0
        && state.inFlight >= state.limit * MIN_LIMIT_UTILIZATION;
    const { window } = state;
    return evaluateWindow({
        ...state,
        limit: isGrowing ? state.limit + 1 : state.limit,
        window: { ...window, samples: window.samples + 1 },
    }, now);
}

/** Counts a request that has ended at the target. `ok` is false if the target itself failed. */
export function onRequestEnded(previous: AdmissionState, now: number, ok: boolean): AdmissionState {
    const state = advanceWindow(previous, now);
    const { cutoffState, window } = state;
    return {
        ...state,
        inFlight: state.inFlight - 1,
        cutoffState: { ...cutoffState, completions: cutoffState.completions + 1 },
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
        // The latency of failed requests shows nothing about a queue, so a trial ends without a result.
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
    // `2 / Math.sqrt(samples)` tolerates sampling error: two standard errors if service times are exponential.
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

/** Lowers the limit far enough to show whether requests are queued in the target. */
function startProbe(state: AdmissionState, trial: Trial): AdmissionState {
    const limit = Math.max(MIN_LIMIT, trial.inFlight * PROBE_LIMIT_FACTOR);
    return { ...state, latencyRatio: 1, limit, isSettling: true, trial };
}

/**
 * Moves the baseline towards a window's latency. Once the baseline is known, it does not rise while requests may be
 * queued in the target.
 */
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
 * Evaluates the trial once the requests in flight have decreased enough, with one of three results:
 * - Latency fell by less than 40 % of the relative decrease of the requests in flight: there was no queue, and the
 *   target has become slower.
 * - Latency fell further, but throughput did not fall: there still is a queue, and the limit is lowered again.
 * - Both fell: the number of slots lies between the two limits, and the lower latency is one without a queue. The
 *   baseline moves halfway to it; otherwise, a baseline measured under load would never be corrected.
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
