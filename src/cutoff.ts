/**
 * Admission cutoff of one target. Requests with a level above the cutoff are refused before they use any resources.
 * Levels are distributed uniformly within a priority, so the arrivals up to the cutoff show the demand of the whole
 * priority, and the cutoff that admits a given rate can be computed without a search.
 *
 * As in DAGOR, the overload control of WeChat, the level of a request is derived from its priority and a hash (here,
 * random digits of its id), and callers learn the cutoff from responses. The rate control differs from DAGOR.
 */
import { LEVELS_PER_PRIORITY } from "./admissionLevel.ts";

const PRIORITY_COUNT = 8;
/** Least important level: the last one of priority 7. */
export const MAX_LEVEL = PRIORITY_COUNT * LEVELS_PER_PRIORITY - 1;

const WINDOW_MS = 100;
/** Share of the queue that is kept filled under overload, so that no slot becomes idle. */
const QUEUE_FILL_SETPOINT = 0.3;
const QUEUE_FILL_GAIN = 0.3;
/** Relative increase of the admission rate in the first window without overload. It doubles in each further one. */
const MIN_RATE_INCREASE = 0.05;
const MAX_RATE_INCREASE = 1;
/** Bounds on the increase of the cutoff per window. It doubles in each further window without overload. */
const MIN_CUTOFF_STEP = 8;
const MAX_CUTOFF_STEP = 512;
const SMOOTHING_FACTOR = 0.4;
/** Factor per window by which the estimated demand of a priority decays while the cutoff is too low to measure it. */
const DEMAND_DECAY_PER_WINDOW = 0.9;
/** If a smaller share of a priority is admitted, the sample is too small to estimate the demand of the priority. */
const MIN_SAMPLED_SHARE = 4 / LEVELS_PER_PRIORITY;

export interface CutoffState {
    /** Requests with a higher level are refused. */
    readonly cutoff: number;
    /** Requests per ms that the target completes while it is saturated, smoothed. */
    readonly capacity: number;
    /** Requests per ms to admit. */
    readonly admissionRate: number;
    /** Estimated demand by priority, in requests per ms, including refused requests. */
    readonly demand: readonly number[];
    /** Maximum increase of the cutoff at the end of the next window without overload. */
    readonly cutoffStep: number;
    readonly windowStartedAt: number;
    /** Arrivals in the window by priority, except those that a cutoff refused. */
    readonly arrivals: readonly number[];
    /** Requests that ended at the target in the window. */
    readonly completions: number;
    /** Whether the queue was empty at any moment of the window. */
    readonly queueEmptied: boolean;
    /** Whether a request was refused in the window because the queue was full or its deadline was too close. */
    readonly hasDropped: boolean;
}

const ZERO_PER_PRIORITY: readonly number[] = Array.from({ length: PRIORITY_COUNT }, () => 0);

export function createCutoffState(): CutoffState {
    return {
        cutoff: MAX_LEVEL,
        capacity: 0,
        admissionRate: 0,
        demand: ZERO_PER_PRIORITY,
        cutoffStep: MIN_CUTOFF_STEP,
        windowStartedAt: 0,
        arrivals: ZERO_PER_PRIORITY,
        completions: 0,
        queueEmptied: false,
        hasDropped: false,
    };
}

export function recordArrival(state: CutoffState, level: number): CutoffState {
    const priority = Math.floor(level / LEVELS_PER_PRIORITY);
    return { ...state, arrivals: state.arrivals.map((count, i) => i === priority ? count + 1 : count) };
}

/**
 * Adapts the cutoff once a window has passed. `queueFill` is the share of the queue that is in use. The cutoff is
 * never set below `minCutoff`.
 */
export function adaptCutoff(
    state: CutoffState,
    now: number,
    queueFill: number,
    minCutoff: number,
): CutoffState {
    const elapsedMs = now - state.windowStartedAt;
    if (elapsedMs < WINDOW_MS) return state;
    const next = { ...state, demand: estimateDemand(state, elapsedMs) };
    const adapted = state.hasDropped || !state.queueEmptied
        ? adaptUnderOverload(next, elapsedMs, queueFill)
        : adaptWithoutOverload(next);
    return {
        ...adapted,
        cutoff: Math.max(minCutoff, adapted.cutoff),
        windowStartedAt: now,
        arrivals: ZERO_PER_PRIORITY,
        completions: 0,
        queueEmptied: false,
        hasDropped: false,
    };
}

function estimateDemand(state: CutoffState, elapsedMs: number): readonly number[] {
    return state.demand.map((previous, priority) => {
        const share = admittedShare(state.cutoff, priority);
        if (share < MIN_SAMPLED_SHARE) return previous * DEMAND_DECAY_PER_WINDOW ** (elapsedMs / WINDOW_MS);
        return previous + SMOOTHING_FACTOR * (state.arrivals[priority]! / elapsedMs / share - previous);
    });
}

/** Share of a priority's levels that the cutoff admits. */
function admittedShare(cutoff: number, priority: number): number {
    return Math.min(1, Math.max(0, (cutoff + 1 - priority * LEVELS_PER_PRIORITY) / LEVELS_PER_PRIORITY));
}

function adaptUnderOverload(state: CutoffState, elapsedMs: number, queueFill: number): CutoffState {
    const rate = state.completions / elapsedMs;
    const capacity = state.capacity === 0
        ? rate
        : state.capacity + SMOOTHING_FACTOR * (rate - state.capacity);
    const admissionRate = capacity * (1 + QUEUE_FILL_GAIN * (QUEUE_FILL_SETPOINT - queueFill));
    const cutoff = Math.min(cutoffForRate(admissionRate, state.demand), state.cutoff + MIN_CUTOFF_STEP);
    return {
        ...state,
        capacity,
        admissionRate,
        cutoff: Math.min(cutoff, MAX_LEVEL),
        cutoffStep: MIN_CUTOFF_STEP,
    };
}

function adaptWithoutOverload(state: CutoffState): CutoffState {
    if (state.cutoff === MAX_LEVEL) return state;
    const admissionRate = state.admissionRate
        * (1 + Math.min(MAX_RATE_INCREASE, MIN_RATE_INCREASE * state.cutoffStep / MIN_CUTOFF_STEP));
    const rateCutoff = Math.max(state.cutoff + 1, cutoffForRate(admissionRate, state.demand));
    const cutoff = Math.min(rateCutoff, state.cutoff + state.cutoffStep, MAX_LEVEL);
    return { ...state, admissionRate, cutoff, cutoffStep: Math.min(state.cutoffStep * 2, MAX_CUTOFF_STEP) };
}

/** Highest cutoff up to which the demand does not exceed a rate. */
function cutoffForRate(rate: number, demand: readonly number[]): number {
    let remainingRate = rate;
    for (let priority = 0; priority < PRIORITY_COUNT; priority++) {
        const priorityDemand = demand[priority]!;
        if (priorityDemand > remainingRate) {
            return priority * LEVELS_PER_PRIORITY
                + Math.floor(remainingRate / priorityDemand * LEVELS_PER_PRIORITY) - 1;
        }
        remainingRate -= priorityDemand;
    }
    return MAX_LEVEL;
}
