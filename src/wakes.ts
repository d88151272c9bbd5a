/** Timers for the wakes that the reducer asks for. Every wake that was asked for comes, and none comes early. */

/** Wakes are rounded up to this grid, so that many deadlines share one timer. */
const WAKE_GRID_MS = 10;

export interface WakesOptions {
    /** Monotonic clock, ms. */
    readonly now: () => number;
    readonly onWake: () => void;
}

export class Wakes {
    private readonly opts: WakesOptions;
    private readonly timers = new Map<number, NodeJS.Timeout>();
    private stopped = false;

    constructor(opts: WakesOptions) {
        this.opts = opts;
    }

    /** Asks for a wake at a time, or up to one step of the grid later. */
    schedule(at: number): void {
        const slot = Math.ceil(at / WAKE_GRID_MS) * WAKE_GRID_MS;
        if (!this.stopped && !this.timers.has(slot)) this.arm(slot);
    }

    stop(): void {
        this.stopped = true;
        this.timers.forEach(timer => clearTimeout(timer));
        this.timers.clear();
    }

    private arm(slot: number): void {
        const delayMs = Math.max(0, Math.ceil(slot - this.opts.now()));
        const timer = setTimeout(() => {
            // A timer of Node.js can fire up to 1 ms early; the reducer would find nothing due and sleep on.
            if (this.opts.now() < slot) return this.arm(slot);
            this.timers.delete(slot);
            this.opts.onWake();
        }, delayMs);
        this.timers.set(slot, timer);
    }
}
