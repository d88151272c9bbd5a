/**
 * The admission cut-off of one target. The level of a request is uniform within its priority, so the arrivals up to
 * the admitted level give the demand of a whole priority, and the cut-off that lets a wanted rate pass is computed
 * instead of searched. Under pressure the wanted rate is what the target serves, less what it takes to work off the
 * queue; without pressure it grows. Levels and their feedback to callers follow DAGOR; the rate control is our own.
 */
import { LEVELS_PER_PRIORITY, MAX_LEVEL } from "./admissionLevel.ts";

export interface CutoffOptions {
    /** Longest mean wait for a slot that is not overload. */
    readonly maxMeanWaitMs: number;
}

const DEFAULTS: CutoffOptions = { maxMeanWaitMs: 15 };
const PRIORITY_COUNT = (MAX_LEVEL + 1) / LEVELS_PER_PRIORITY;
/** Requests that may wait for each slot without being overload. */
const MAX_BACKLOG_PER_SLOT = 0.5;
/** Part of the rate that is held back for each full set of slots that waits. */
const BACKLOG_GAIN = 0.12;
const MIN_CAPACITY_SHARE = 0.6;
const SMOOTHING_FACTOR = 0.25;
/** Growth of the wanted rate in a window without pressure; it doubles with each further one. */
const MIN_RATE_INCREASE = 0.02;
const MAX_RATE_INCREASE = 0.16;
/** A part of a priority smaller than this says too little of the whole. */
const MIN_SAMPLED_SHARE = 8 / LEVELS_PER_PRIORITY;
/** What is remembered of a priority that is not admitted fades by this factor in each window. */
const DEMAND_DECAY = 0.99;
/**
 * Windows after which a change of the admitted level shows in the arrivals: runs above that are in progress go on making
 * their calls for about half a second.
 */
const FEEDBACK_DELAY_WINDOWS = 5;
/** Part of the most important priority that is always admitted, so that the effect of a cut can be seen. */
const MIN_CUTOFF_LEVEL = LEVELS_PER_PRIORITY / 8;

export class CutoffController {
    private readonly options: CutoffOptions;
    private readonly arrivals = new Float64Array(PRIORITY_COUNT);
    /** Requests a window by priority, refused ones included. */
    private readonly demand = new Float64Array(PRIORITY_COUNT);
    /** Levels admitted in the last windows, the latest last. */
    private readonly recentEntryCutoffs: number[] = [];
    private cutoffLevel = MAX_LEVEL;
    /** Requests a window that the target serves when it is saturated. */
    private capacity = 0;
    private admissionRate = Infinity;
    private rateIncrease = MIN_RATE_INCREASE;
    private startedCount = 0;
    private waitSumMs = 0;
    private unservedCount = 0;

    constructor(options: Partial<CutoffOptions> = {}) {
        this.options = { ...DEFAULTS, ...options };
    }

    get level(): number {
        return this.cutoffLevel;
    }

    isAdmitted(level: number): boolean {
        return level <= this.cutoffLevel;
    }

    /** Notes a request that came this far, whether it gets a slot or not. */
    recordArrival(level: number): void {
        this.arrivals[Math.min(PRIORITY_COUNT - 1, Math.floor(level / LEVELS_PER_PRIORITY))]! += 1;
    }

    /** Notes a request that got a slot. */
    recordStart(waitedMs: number): void {
        this.startedCount++;
        this.waitSumMs += waitedMs;
    }

    /** Notes a request that got no slot in its time. */
    recordUnserved(): void {
        this.unservedCount++;
    }

    /**
     * Ends a window. `backlog` is the number of requests that wait for each slot, `entryLevel` the level up to which
     * the entries admit, which may be that of other targets too.
     */
    endWindow(backlogPerSlot: number, entryCutoff = this.cutoffLevel): void {
        this.updateDemand(entryCutoff);
        const meanWaitMs = this.startedCount === 0 ? 0 : this.waitSumMs / this.startedCount;
        if (
            meanWaitMs > this.options.maxMeanWaitMs || this.unservedCount > 0
            || backlogPerSlot > MAX_BACKLOG_PER_SLOT
        ) {
            this.lowerCutoff(backlogPerSlot);
        }
        else if (this.cutoffLevel < MAX_LEVEL) this.raiseCutoff();
        this.arrivals.fill(0);
        this.startedCount = 0;
        this.waitSumMs = 0;
        this.unservedCount = 0;
    }

    private updateDemand(entryCutoff: number): void {
        this.recentEntryCutoffs.push(entryCutoff);
        if (this.recentEntryCutoffs.length > FEEDBACK_DELAY_WINDOWS + 1) this.recentEntryCutoffs.shift();
        const effectiveCutoff = this.recentEntryCutoffs[0]!;
        for (let priority = 0; priority < PRIORITY_COUNT; priority++) {
            const admittedShare = Math.min(
                1,
                Math.max(0, (effectiveCutoff + 1 - priority * LEVELS_PER_PRIORITY) / LEVELS_PER_PRIORITY),
            );
            if (admittedShare < MIN_SAMPLED_SHARE) this.demand[priority]! *= DEMAND_DECAY;
            else {this.demand[priority]! += SMOOTHING_FACTOR
                    * (this.arrivals[priority]! / admittedShare - this.demand[priority]!);}
        }
    }

    private lowerCutoff(backlogPerSlot: number): void {
        this.rateIncrease = MIN_RATE_INCREASE;
        this.capacity = this.capacity === 0
            ? this.startedCount
            : this.capacity + SMOOTHING_FACTOR * (this.startedCount - this.capacity);
        this.admissionRate = this.capacity * Math.max(MIN_CAPACITY_SHARE, 1 - BACKLOG_GAIN * backlogPerSlot);
        this.cutoffLevel = Math.max(MIN_CUTOFF_LEVEL, this.levelForRate(this.admissionRate));
    }

    private raiseCutoff(): void {
        this.admissionRate *= 1 + this.rateIncrease;
        this.rateIncrease = Math.min(MAX_RATE_INCREASE, this.rateIncrease * 2);
        this.cutoffLevel = Math.max(this.cutoffLevel + 1, this.levelForRate(this.admissionRate));
        if (this.cutoffLevel >= MAX_LEVEL) {
            this.cutoffLevel = MAX_LEVEL;
            this.rateIncrease = MIN_RATE_INCREASE;
        }
    }

    /** The highest level whose demand does not exceed a rate. */
    private levelForRate(rate: number): number {
        let remaining = rate;
        for (let priority = 0; priority < PRIORITY_COUNT; priority++) {
            const demand = this.demand[priority]!;
            if (demand > remaining) {
                return priority * LEVELS_PER_PRIORITY + Math.floor(remaining / demand * LEVELS_PER_PRIORITY)
                    - 1;
            }
            remaining -= demand;
        }
        return MAX_LEVEL;
    }
}
