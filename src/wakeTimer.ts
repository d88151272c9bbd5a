/** Wakes the reducer at the times it asked for: each time is kept until it has come, and none fires early. */

/** Times are rounded up to this grid, so that many deadlines share one wake. */
const WAKE_GRID_MS = 10;

export interface WakeTimerOptions {
    readonly now: () => number;
    readonly wake: () => void;
    /** Runs a function after a delay and returns how to cancel it. */
    readonly delay?: (run: () => void, delayMs: number) => () => void;
}

export class WakeTimer {
    private readonly opts: Required<WakeTimerOptions>;
    private readonly times = new Set<number>();
    private armedFor = Infinity;
    private disarm: (() => void) | undefined;
    private stopped = false;

    constructor(opts: WakeTimerOptions) {
        this.opts = { delay: delayWithTimeout, ...opts };
    }

    wakeAt(at: number): void {
        if (this.stopped) return;
        const time = Math.ceil(at / WAKE_GRID_MS) * WAKE_GRID_MS;
        this.times.add(time);
        if (time < this.armedFor) this.arm(time);
    }

    stop(): void {
        this.stopped = true;
        this.disarm?.();
    }

    private arm(time: number): void {
        this.disarm?.();
        this.armedFor = time;
        const delayMs = Math.max(0, Math.ceil(time - this.opts.now()));
        this.disarm = this.opts.delay(() => this.fire(), delayMs);
    }

    private fire(): void {
        this.disarm = undefined;
        this.armedFor = Infinity;
        const now = this.opts.now();
        let due = false;
        let next = Infinity;
        // Timers count from the start of the event loop's turn, so that one can fire before its time.
        for (const time of this.times) {
            if (time > now) next = Math.min(next, time);
            else due = this.times.delete(time);
        }
        if (next < Infinity) this.arm(next);
        if (due) this.opts.wake();
    }
}

function delayWithTimeout(run: () => void, delayMs: number): () => void {
    const timer = setTimeout(run, delayMs);
    return () => clearTimeout(timer);
}
