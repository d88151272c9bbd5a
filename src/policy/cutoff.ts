/**
 * The admission cut-off of one target. While requests wait longer for a slot than wanted, the cut-off falls to the
 * level that admits the share of the recent arrivals which the target could serve; without pressure it rises again,
 * in steps that double. Levels and their feedback to callers follow DAGOR; the rate of change is our own.
 */
import { BUCKETS, MAX_LEVEL } from "./level.ts";

export interface CutoffOptions {
    /** Longest mean wait for a slot that is not overload. */
    readonly wantedWaitMs: number;
    /** Shortest time between two cuts: the effect of a cut is seen only after requests in progress have ended. */
    readonly holdMs: number;
}

const DEFAULTS: CutoffOptions = { wantedWaitMs: 15, holdMs: 300 };
const MIN_CUT = 0.04;
const MAX_CUT = 0.35;
/** Requests that may wait for each slot without being overload. */
const MAX_BACKLOG = 0.5;
const FIRST_RAISE = 4;
const MAX_RAISE = 64;
/** Arrivals fade by this factor in each tick, so that the histogram covers about a second. */
const FADING = 0.85;
const STEP = 8;
const CELLS = (MAX_LEVEL + 1) / STEP;

export class Cutoff {
    private readonly options: CutoffOptions;
    private readonly arrivals = new Float64Array(CELLS);
    private level = MAX_LEVEL;
    private raise = FIRST_RAISE;
    private lastCutAt = -Infinity;
    private waits = 0;
    private waitSum = 0;
    private refused = 0;

    constructor(options: Partial<CutoffOptions> = {}) {
        this.options = { ...DEFAULTS, ...options };
    }

    get value(): number {
        return this.level;
    }

    isAdmitted(level: number): boolean {
        return level <= this.level;
    }

    /** Notes a request that was admitted, whether it waits or not. */
    noteArrival(level: number): void {
        this.arrivals[Math.floor(Math.min(level, MAX_LEVEL) / STEP)]! += 1;
    }

    /** Notes a request that got a slot. */
    noteStart(waitedMs: number): void {
        this.waits++;
        this.waitSum += waitedMs;
    }

    /** Notes a request that got no slot in its time. */
    noteLost(): void {
        this.refused++;
    }

    /** Ends a window. `backlog` is the number of requests that wait for each slot. */
    tick(now: number, backlog: number): void {
        const meanWait = this.waits === 0 ? 0 : this.waitSum / this.waits;
        const isOverloaded = meanWait > this.options.wantedWaitMs || this.refused > 0
            || backlog > MAX_BACKLOG;
        if (isOverloaded) this.lower(now, backlog);
        else if (meanWait < this.options.wantedWaitMs / 2) this.lift();
        for (let cell = 0; cell < CELLS; cell++) this.arrivals[cell]! *= FADING;
        this.waits = 0;
        this.waitSum = 0;
        this.refused = 0;
    }

    private lower(now: number, backlog: number): void {
        this.raise = FIRST_RAISE;
        if (now - this.lastCutAt < this.options.holdMs) return;
        this.lastCutAt = now;
        const served = this.waits + 1;
        const excess = Math.max(this.refused / (served + this.refused), backlog / 4);
        const cut = Math.min(MAX_CUT, Math.max(MIN_CUT, excess));
        this.level = Math.min(this.level - 1, this.levelOfShare(1 - cut));
        // The most important bucket of priority 0 stays admitted, so that the effect of a cut can be seen.
        this.level = Math.max(this.level, BUCKETS / 8);
    }

    private lift(): void {
        this.level = Math.min(MAX_LEVEL, this.level + this.raise);
        this.raise = Math.min(MAX_RAISE, this.raise * 2);
    }

    /** The level below which this share of the recent arrivals lies. */
    private levelOfShare(share: number): number {
        let total = 0;
        for (let cell = 0; cell < CELLS; cell++) total += this.arrivals[cell]!;
        let rest = total * share;
        for (let cell = 0; cell < CELLS; cell++) {
            const here = this.arrivals[cell]!;
            if (here > rest) return cell * STEP + Math.floor(rest / here * STEP);
            rest -= here;
        }
        return MAX_LEVEL;
    }
}
