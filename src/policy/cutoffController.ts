/**
 * Controls the admission cutoff of one target: the highest level that it admits. In each window the controller chooses
 * a rate of requests to admit. Under overload, this is the target's throughput, reduced so that the queue drains;
 * otherwise the rate grows.
 *
 * Levels are distributed uniformly within a priority. The arrivals up to the cutoff therefore show the demand of the
 * whole priority, and the cutoff for a given rate can be computed without a search.
 *
 * Levels and their feedback to callers follow DAGOR, the overload control of WeChat; the rate control differs from it.
 */
import { LEVELS_PER_PRIORITY, MAX_LEVEL } from "./admissionLevel.ts";

export interface CutoffOptions {
    /** Mean wait for a slot above which the target counts as overloaded. */
    readonly maxMeanWaitMs: number;
}

const DEFAULTS: CutoffOptions = { maxMeanWaitMs: 15 };
const PRIORITY_COUNT = (MAX_LEVEL + 1) / LEVELS_PER_PRIORITY;
/** Queued requests per slot above which the target counts as overloaded. */
const MAX_BACKLOG_PER_SLOT = 0.5;
/** Share of the capacity that is withheld for each queued request per slot, so that the queue drains. */
const BACKLOG_GAIN = 0.12;
/** Minimum share of the capacity that is admitted, regardless of the length of the queue. */
const MIN_CAPACITY_SHARE = 0.6;
const SMOOTHING_FACTOR = 0.25;
/** Relative growth of the admitted rate in the first window without overload; it doubles in each further window. */
const MIN_RATE_INCREASE = 0.02;
const MAX_RATE_INCREASE = 0.16;
/** If a smaller share of a priority is admitted, the sample is too small to estimate the priority's demand. */
const MIN_SAMPLED_SHARE = 8 / LEVELS_PER_PRIORITY;
/** Factor per window by which the estimated demand of a priority decays while it cannot be measured. */
const DEMAND_DECAY = 0.99;
/**
 * Number of windows after which a change of the cutoff shows in the arrivals. Requests that are in progress at calling
 * services continue to make calls for about half a second, and the runner ends a window every 100 ms.
 */
const FEEDBACK_DELAY_WINDOWS = 5;
/**
 * Minimum of the cutoff. Part of the most important priority is always admitted, because the effect of the cutoff
 * cannot be measured if no requests are admitted.
 */
const MIN_CUTOFF_LEVEL = LEVELS_PER_PRIORITY / 8;

export class CutoffController {
    private readonly options: CutoffOptions;
    private readonly arrivals = new Float64Array(PRIORITY_COUNT);
    /** Estimated requests per window by priority, including refused requests. */
    private readonly demand = new Float64Array(PRIORITY_COUNT);
    /** Cutoffs that applied to client requests in the last windows, oldest first. */
    private readonly recentEntryCutoffs: number[] = [];
    private cutoffLevel = MAX_LEVEL;
    /** Smoothed number of requests per window that the target starts when it is overloaded. */
    private capacity = 0;
    /** Requests per window to admit. */
    private admissionRate = Infinity;
    private rateIncrease = MIN_RATE_INCREASE;
    private startedCount = 0;
    private waitSumMs = 0;
    private unservedCount = 0;

    constructor(options: Partial<CutoffOptions> = {}) {
        this.options = { ...DEFAULTS, ...options };
    }

    /** Highest level that is admitted. */
    get cutoff(): number {
        return this.cutoffLevel;
    }

    isAdmitted(level: number): boolean {
        return level <= this.cutoffLevel;
    }

    /** Records a request that arrived at the target's node, whether or not it gets a slot. */
    recordArrival(level: number): void {
        this.arrivals[Math.min(PRIORITY_COUNT - 1, Math.floor(level / LEVELS_PER_PRIORITY))]! += 1;
    }

    /** Records a request that got a slot. */
    recordStart(waitedMs: number): void {
        this.startedCount++;
        this.waitSumMs += waitedMs;
    }

    /** Records a request that got no slot in time, or was refused because it was not expected to get one. */
    recordUnserved(): void {
        this.unservedCount++;
    }

    /**
     * Ends a measurement window and sets the cutoff for the next one. `backlogPerSlot` is the number of queued requests
     * per slot. `entryCutoff` is the cutoff that applies to client requests; it may also depend on the other
     * targets of the service.
     */
    endWindow(backlogPerSlot: number, entryCutoff = this.cutoffLevel): void {
        this.updateDemand(entryCutoff);
        const meanWaitMs = this.startedCount === 0 ? 0 : this.waitSumMs / this.startedCount;
        if (
            meanWaitMs > this.options.maxMeanWaitMs || this.unservedCount > 0
            || backlogPerSlot > MAX_BACKLOG_PER_SLOT
        ) {
            this.limitToCapacity(backlogPerSlot);
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

    /**
     * Under overload, sets the admitted rate to the capacity, reduced so that the queue drains. This can also raise the
     * cutoff, if the capacity has grown or the demand has fallen.
     */
    private limitToCapacity(backlogPerSlot: number): void {
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

    /** Highest level up to which the demand does not exceed a rate, in requests per window. */
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
