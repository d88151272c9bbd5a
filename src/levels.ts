/**
 * The admission level of one target: requests with a level above the cut-off are refused before they cost anything.
 * The level of a request is uniform within its priority, so the demand seen up to the cut-off gives the demand of
 * the whole priority, and the cut-off that lets a wanted rate pass can be computed instead of searched.
 * After DAGOR (admission by priority and hash, fed back to callers); the rate control is our own.
 */
import { BUCKETS } from "./priority.ts";

const PRIORITIES = 8;
/** The least important level: priority 7, hash bucket 127. */
export const MAX_LEVEL = PRIORITIES * BUCKETS - 1;

const WINDOW_MS = 100;
/** Share of the queue that is kept filled under overload, so that no slot waits for work. */
const WANTED_FILL = 0.3;
const FILL_GAIN = 0.3;
/** Raise of the goal for the first window without pressure; it doubles with each further one. */
const FIRST_RAISE = 0.05;
const LARGEST_RAISE = 1;
const FIRST_STEP = 8;
const LAST_STEP = 512;
const SMOOTHING = 0.4;
/** Demand above the cut-off cannot be seen; what is remembered of it fades by this factor each window. */
const FADING = 0.9;
/** A part of a priority smaller than this says too little of the whole. */
const SMALLEST_PART = 4 / BUCKETS;

export interface LevelsState {
    /** Requests with a higher level are refused. */
    readonly cutoff: number;
    /** Requests per ms that the target finishes when it is saturated. */
    readonly capacity: number;
    /** Requests per ms to admit. */
    readonly goal: number;
    /** Demand by priority, requests per ms. */
    readonly demand: readonly number[];
    readonly step: number;
    readonly windowStart: number;
    /** Arrivals in the window with a level up to the cut-off, by priority. */
    readonly arrivals: readonly number[];
    readonly completions: number;
    /** Whether the queue was empty at some moment of the window. */
    readonly queueEmptied: boolean;
    readonly dropped: boolean;
}

const NO_ARRIVALS: readonly number[] = Array.from({ length: PRIORITIES }, () => 0);

export function createLevelsState(): LevelsState {
    return {
        cutoff: MAX_LEVEL,
        capacity: 0,
        goal: 0,
        demand: NO_ARRIVALS,
        step: FIRST_STEP,
        windowStart: 0,
        arrivals: NO_ARRIVALS,
        completions: 0,
        queueEmptied: false,
        dropped: false,
    };
}

export function noteArrival(state: LevelsState, level: number): LevelsState {
    const priority = Math.floor(level / BUCKETS);
    return { ...state, arrivals: state.arrivals.map((count, i) => i === priority ? count + 1 : count) };
}

/**
 * Adapts the cut-off when a window has passed. `fill` is the filled share of the queue. The cut-off does not fall
 * below `floor`.
 */
export function adaptLevel(state: LevelsState, now: number, fill: number, floor: number): LevelsState {
    const elapsedMs = now - state.windowStart;
    if (elapsedMs < WINDOW_MS) return state;
    const next = { ...state, demand: demandOf(state, elapsedMs) };
    const adapted = state.dropped || !state.queueEmptied
        ? underPressure(next, elapsedMs, fill)
        : withoutPressure(next);
    return {
        ...adapted,
        cutoff: Math.max(floor, adapted.cutoff),
        windowStart: now,
        arrivals: NO_ARRIVALS,
        completions: 0,
        queueEmptied: false,
        dropped: false,
    };
}

function demandOf(state: LevelsState, elapsedMs: number): readonly number[] {
    return state.demand.map((known, priority) => {
        const part = partBelow(state.cutoff, priority);
        if (part < SMALLEST_PART) return known * FADING ** (elapsedMs / WINDOW_MS);
        return known + SMOOTHING * (state.arrivals[priority]! / elapsedMs / part - known);
    });
}

/** Share of a priority's levels that the cut-off admits. */
function partBelow(cutoff: number, priority: number): number {
    return Math.min(1, Math.max(0, (cutoff + 1 - priority * BUCKETS) / BUCKETS));
}

function underPressure(state: LevelsState, elapsedMs: number, fill: number): LevelsState {
    const rate = state.completions / elapsedMs;
    const capacity = state.capacity === 0 ? rate : state.capacity + SMOOTHING * (rate - state.capacity);
    const goal = capacity * (1 + FILL_GAIN * (WANTED_FILL - fill));
    const cutoff = Math.min(cutoffFor(goal, state.demand), state.cutoff + FIRST_STEP);
    return { ...state, capacity, goal, cutoff: Math.min(cutoff, MAX_LEVEL), step: FIRST_STEP };
}

function withoutPressure(state: LevelsState): LevelsState {
    if (state.cutoff === MAX_LEVEL) return state;
    const goal = state.goal * (1 + Math.min(LARGEST_RAISE, FIRST_RAISE * state.step / FIRST_STEP));
    const wanted = Math.max(state.cutoff + 1, cutoffFor(goal, state.demand));
    const cutoff = Math.min(wanted, state.cutoff + state.step, MAX_LEVEL);
    return { ...state, goal, cutoff, step: Math.min(state.step * 2, LAST_STEP) };
}

/** The highest cut-off whose demand does not exceed a rate. */
function cutoffFor(goal: number, demand: readonly number[]): number {
    let rest = goal;
    for (let priority = 0; priority < PRIORITIES; priority++) {
        const wanted = demand[priority]!;
        if (wanted > rest) return priority * BUCKETS + Math.floor(rest / wanted * BUCKETS) - 1;
        rest -= wanted;
    }
    return MAX_LEVEL;
}
