/**
 * The admission cut-off of one target. The level of a request is uniform within its priority, so the arrivals up to
 * the admitted level give the demand of a whole priority, and the cut-off that lets a wanted rate pass is computed
 * instead of searched. Under pressure the wanted rate is what the target serves, less what it takes to work off the
 * queue; without pressure it grows. Levels and their feedback to callers follow DAGOR; the rate control is our own.
 */
import { BUCKETS, MAX_LEVEL } from "./level.ts";

export interface CutoffOptions {
    /** Longest mean wait for a slot that is not overload. */
    readonly wantedWaitMs: number;
}

const DEFAULTS: CutoffOptions = { wantedWaitMs: 15 };
const PRIORITIES = (MAX_LEVEL + 1) / BUCKETS;
/** Requests that may wait for each slot without being overload. */
const MAX_BACKLOG = 0.5;
/** Part of the rate that is held back for each full set of slots that waits. */
const BACKLOG_GAIN = 0.12;
const MIN_GOAL_SHARE = 0.6;
const SMOOTHING = 0.25;
/** Growth of the wanted rate in a window without pressure; it doubles with each further one. */
const FIRST_RAISE = 0.02;
const MAX_RAISE = 0.16;
/** A part of a priority smaller than this says too little of the whole. */
const SMALLEST_PART = 8 / BUCKETS;
/** What is remembered of a priority that is not admitted fades by this factor in each window. */
const FADING = 0.99;
/**
 * Windows after which a change of the admitted level shows in the arrivals: runs above that are in progress go on making
 * their calls for about half a second.
 */
const DELAY_TICKS = 5;
/** Part of the most important priority that is always admitted, so that the effect of a cut can be seen. */
const LOWEST_LEVEL = BUCKETS / 8;

export class Cutoff {
    private readonly options: CutoffOptions;
    private readonly arrivals = new Float64Array(PRIORITIES);
    /** Requests a window by priority, refused ones included. */
    private readonly demand = new Float64Array(PRIORITIES);
    /** Levels admitted in the last windows, the latest last. */
    private readonly admitted: number[] = [];
    private level = MAX_LEVEL;
    /** Requests a window that the target serves when it is saturated. */
    private capacity = 0;
    private goal = Infinity;
    private raise = FIRST_RAISE;
    private starts = 0;
    private waitSum = 0;
    private lost = 0;

    constructor(options: Partial<CutoffOptions> = {}) {
        this.options = { ...DEFAULTS, ...options };
    }

    get value(): number {
        return this.level;
    }

    isAdmitted(level: number): boolean {
        return level <= this.level;
    }

    /** Notes a request that came this far, whether it gets a slot or not. */
    noteArrival(level: number): void {
        this.arrivals[Math.min(PRIORITIES - 1, Math.floor(level / BUCKETS))]! += 1;
    }

    /** Notes a request that got a slot. */
    noteStart(waitedMs: number): void {
        this.starts++;
        this.waitSum += waitedMs;
    }

    /** Notes a request that got no slot in its time. */
    noteLost(): void {
        this.lost++;
    }

    /**
     * Ends a window. `backlog` is the number of requests that wait for each slot, `entryLevel` the level up to which
     * the entries admit, which may be that of other targets too.
     */
    tick(backlog: number, entryLevel = this.level): void {
        this.learnDemand(entryLevel);
        const meanWait = this.starts === 0 ? 0 : this.waitSum / this.starts;
        if (meanWait > this.options.wantedWaitMs || this.lost > 0 || backlog > MAX_BACKLOG) {
            this.lower(backlog);
        }
        else if (this.level < MAX_LEVEL) this.lift();
        this.arrivals.fill(0);
        this.starts = 0;
        this.waitSum = 0;
        this.lost = 0;
    }

    private learnDemand(entryLevel: number): void {
        this.admitted.push(entryLevel);
        if (this.admitted.length > DELAY_TICKS + 1) this.admitted.shift();
        const level = this.admitted[0]!;
        for (let priority = 0; priority < PRIORITIES; priority++) {
            const part = Math.min(1, Math.max(0, (level + 1 - priority * BUCKETS) / BUCKETS));
            if (part < SMALLEST_PART) this.demand[priority]! *= FADING;
            else {this.demand[priority]! += SMOOTHING
                    * (this.arrivals[priority]! / part - this.demand[priority]!);}
        }
    }

    private lower(backlog: number): void {
        this.raise = FIRST_RAISE;
        this.capacity = this.capacity === 0
            ? this.starts
            : this.capacity + SMOOTHING * (this.starts - this.capacity);
        this.goal = this.capacity * Math.max(MIN_GOAL_SHARE, 1 - BACKLOG_GAIN * backlog);
        this.level = Math.max(LOWEST_LEVEL, this.levelFor(this.goal));
    }

    private lift(): void {
        this.goal *= 1 + this.raise;
        this.raise = Math.min(MAX_RAISE, this.raise * 2);
        this.level = Math.max(this.level + 1, this.levelFor(this.goal));
        if (this.level >= MAX_LEVEL) {
            this.level = MAX_LEVEL;
            this.raise = FIRST_RAISE;
        }
    }

    /** The highest level whose demand does not exceed a rate. */
    private levelFor(rate: number): number {
        let rest = rate;
        for (let priority = 0; priority < PRIORITIES; priority++) {
            const wanted = this.demand[priority]!;
            if (wanted > rest) return priority * BUCKETS + Math.floor(rest / wanted * BUCKETS) - 1;
            rest -= wanted;
        }
        return MAX_LEVEL;
    }
}
