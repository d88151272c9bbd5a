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
const FIRST_LIMIT = 20;
const MIN_LIMIT = 2;
const WINDOW_MS = 100;
const WINDOW_SAMPLES = 30;
/** A trial is judged on more samples, since a wrong verdict is costly. */
const TRIAL_SAMPLES = 60;
const LONGEST_WINDOW_MS = 1_000;
/** Enough for a window that has become long. */
const FEWEST_SAMPLES = 10;
/** Latency over base at which a queue is assumed; service times vary by as much from window to window. */
const CONGESTED_RATIO = 1.25;
/** Largest decrease at once: a smaller limit would give too few samples to judge the trial. */
const LARGEST_DECREASE = 0.6;
/** Room above the requests that the target works on, so that its slots do not run empty. */
const HEADROOM = 1.2;
const GROWTH = 0.08;
/** Samples after which a base counts as known; an average over fewer differs by a fifth and more. */
const KNOWN_SAMPLES = 150;
/** Largest weight of one window in a known base: more would follow the windows that are fast by chance. */
const FOLLOW = 0.2;
/** Fall of the requests in progress that lets a trial be told from the variation of latency. */
const TRIAL_FALL = 0.25;
/** Decrease of a further trial, and the share of the rate that counts as unchanged after it. */
const PROBE_DECREASE = 0.7;
const KEPT_RATE = 1;
/** Latency over base below which the target has become faster, and the base says nothing of it any more. */
const FASTER_RATIO = 0.8;
/** Decreases after which one is made large enough to be judged, in case the base has a queue in it. */
const PROBE_EVERY = 10;
/** Share of the limit that must be in use for latency to tell of a queue. */
const USED_SHARE = 0.8;
const ERROR_SHARE = 0.3;
/**
 * Requests of priority 0 may exceed the limit by these factors, while it still grows and later: a trial lowers it by
 * a third, which refused bookings whose own demand fitted.
 */
const GROWING_VITAL_FACTOR = 2;
const VITAL_FACTOR = 1.5;

export interface AdmissionState {
    /** Requests that may be in progress at the target at once. */
    readonly limit: number;
    /** Requests with a higher level are refused. */
    readonly level: number;
    readonly inFlight: number;
    /** Requests in progress that wait for calls to other services. */
    readonly calling: number;
    readonly levels: LevelsState;
    /** Own latency without a queue in the target. */
    readonly baseMs?: number | undefined;
    /** Samples in the base. */
    readonly samples: number;
    readonly ratio: number;
    readonly growsFast: boolean;
    /** Set after a decrease until no more requests are in progress than the limit allows. */
    readonly isDraining: boolean;
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
    readonly at: number;
    /** Integral over the window of the requests in progress that wait for no call, in requests times ms. */
    readonly ownMs: number;
    readonly totalMs: number;
    /**
     * Requests that finished their own work: at their first call, or at their end without one. Counting all at their
     * end would show a queue at each surge, since the rate of ends lags by the time of the calls.
     */
    readonly count: number;
    readonly ended: number;
    readonly errors: number;
}

function startWindow(now: number): Window {
    return { startedAt: now, at: now, ownMs: 0, totalMs: 0, count: 0, ended: 0, errors: 0 };
}

export function createAdmissionState(): AdmissionState {
    const levels = createLevelsState();
    return {
        limit: FIRST_LIMIT,
        level: levels.cutoff,
        inFlight: 0,
        calling: 0,
        levels,
        samples: 0,
        ratio: 1,
        growsFast: true,
        isDraining: false,
        decreases: 0,
        window: startWindow(0),
    };
}

export function setLevels(state: AdmissionState, levels: LevelsState): AdmissionState {
    return { ...state, levels, level: levels.cutoff };
}

export function hasCapacity(state: AdmissionState, priority: number): boolean {
    const vital = state.growsFast ? GROWING_VITAL_FACTOR : VITAL_FACTOR;
    return state.inFlight < Math.floor(state.limit) * (priority === 0 ? vital : 1);
}

export function loadReport(state: AdmissionState): LoadReport {
    return { level: state.level, inFlight: state.inFlight, limit: Math.floor(state.limit) };
}

function advance(state: AdmissionState, now: number): AdmissionState {
    const { window } = state;
    const elapsedMs = now - window.at;
    if (elapsedMs <= 0) return state;
    return {
        ...state,
        window: {
            ...window,
            at: now,
            ownMs: window.ownMs + elapsedMs * (state.inFlight - state.calling),
            totalMs: window.totalMs + elapsedMs * state.inFlight,
        },
    };
}

/** Counts a request that is sent to the target. */
export function onForwarded(state: AdmissionState, now: number): AdmissionState {
    return { ...advance(state, now), inFlight: state.inFlight + 1 };
}

/** Counts a request that begins (1) or ends (-1) to wait for calls. */
export function onCalling(state: AdmissionState, now: number, by: 1 | -1): AdmissionState {
    return { ...advance(state, now), calling: state.calling + by };
}

/** Counts a request that has finished its own work, and adapts the limit. */
export function onOwnWorkDone(before: AdmissionState, now: number): AdmissionState {
    const state = advance(before, now);
    // Doubles the limit in one latency while it is in use and no queue in the target has been seen.
    // It does not grow before the first base is known, which would else be taken with a queue.
    const isGrowing = state.growsFast && state.baseMs !== undefined && state.window.errors === 0
        && state.inFlight >= state.limit * USED_SHARE;
    const { window } = state;
    return sampleLimit({
        ...state,
        limit: isGrowing ? state.limit + 1 : state.limit,
        window: { ...window, count: window.count + 1 },
    }, now);
}

/** Counts a request that has ended at the target; `ok` unless the target itself failed. */
export function onEnded(before: AdmissionState, now: number, ok: boolean): AdmissionState {
    const state = advance(before, now);
    const { levels, window } = state;
    return {
        ...state,
        inFlight: state.inFlight - 1,
        levels: { ...levels, completions: levels.completions + 1 },
        window: { ...window, ended: window.ended + 1, errors: window.errors + (ok ? 0 : 1) },
    };
}

function sampleLimit(state: AdmissionState, now: number): AdmissionState {
    if (state.isDraining) {
        return state.inFlight <= state.limit
            ? { ...state, isDraining: false, window: startWindow(now) }
            : state;
    }
    const { window } = state;
    const elapsedMs = now - window.startedAt;
    const enough = state.trial === undefined ? WINDOW_SAMPLES : TRIAL_SAMPLES;
    const wanted = elapsedMs < LONGEST_WINDOW_MS ? enough : FEWEST_SAMPLES;
    const shortest = state.growsFast ? 0 : Math.max(WINDOW_MS, state.baseMs ?? 0);
    if (elapsedMs < shortest || window.count < wanted) return state;
    return adaptLimit({ ...state, window: startWindow(now) }, window);
}

function adaptLimit(state: AdmissionState, window: Window): AdmissionState {
    const errorShare = window.errors / Math.max(1, window.ended);
    if (errorShare > ERROR_SHARE) {
        const limit = Math.max(MIN_LIMIT, state.limit * (1 - errorShare / 2));
        return { ...state, limit, growsFast: true, trial: undefined };
    }
    const latencyMs = window.ownMs / window.count;
    const inFlight = window.totalMs / (window.at - window.startedAt);
    const judged = judgeTrial(state, latencyMs, inFlight);
    if (judged.isDraining) return judged;
    const baseMs = judged.baseMs ?? latencyMs;
    const isUsed = inFlight >= judged.limit * USED_SHARE;
    const ratio = latencyMs / baseMs;
    const smoothed = judged.ratio + 0.4 * (ratio - judged.ratio);
    const isJump = ratio > CONGESTED_RATIO + 2 / Math.sqrt(window.count);
    if (isUsed && judged.samples >= KNOWN_SAMPLES && ratio < FASTER_RATIO - 2 / Math.sqrt(window.count)) {
        return probe({ ...judged, baseMs: latencyMs, growsFast: false }, { inFlight, latencyMs });
    }
    if (isUsed && (isJump || smoothed > CONGESTED_RATIO)) {
        const decreases = judged.decreases + 1;
        if (decreases % PROBE_EVERY === 0) {
            return probe({ ...judged, baseMs, decreases }, { inFlight, latencyMs });
        }
        const decrease = Math.max(LARGEST_DECREASE, HEADROOM / (isJump ? ratio : smoothed));
        return {
            ...judged,
            baseMs,
            decreases,
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

/** Lowers the limit so far that it shows whether requests queue in the target. */
function probe(state: AdmissionState, trial: Trial): AdmissionState {
    const limit = Math.max(MIN_LIMIT, trial.inFlight * PROBE_DECREASE);
    return { ...state, ratio: 1, limit, isDraining: true, trial };
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
    const weight = isKnown ? Math.min(FOLLOW, count / samples) : count / samples;
    return { ...state, samples, baseMs: state.baseMs + weight * (latencyMs - state.baseMs) };
}

/**
 * Judges the last decrease. Latency that did not fall: there was no queue, and the target is slower. Throughput that
 * stayed: there still is a queue, and the limit falls on. Otherwise the slots lie between, and the lower latency is
 * that without a queue; without this step a base that was taken under load would last.
 */
function judgeTrial(state: AdmissionState, latencyMs: number, inFlight: number): AdmissionState {
    const { trial } = state;
    if (trial === undefined) return state;
    const fall = 1 - inFlight / trial.inFlight;
    if (fall < TRIAL_FALL) return state;
    if (latencyMs > trial.latencyMs * (1 - 0.4 * fall)) {
        const limit = Math.max(state.limit, trial.inFlight);
        return { ...state, trial: undefined, baseMs: latencyMs, ratio: 1, limit };
    }
    const known = state.baseMs ?? latencyMs;
    const rate = trial.inFlight / trial.latencyMs;
    if (inFlight / latencyMs > rate * KEPT_RATE) {
        return probe({ ...state, baseMs: Math.min(known, latencyMs) }, { inFlight, latencyMs });
    }
    const limit = Math.max(state.limit, Math.min(trial.inFlight, HEADROOM * rate * latencyMs + 1));
    return { ...state, trial: undefined, baseMs: (known + latencyMs) / 2, ratio: 1, limit };
}
