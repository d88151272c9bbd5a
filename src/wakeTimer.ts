/**
 * Timer for the `wake_at` effects of the reducer. It calls `wake` soon after each requested time and never before it.
 * Times that are due together share one call.
 */

/** Requested times are rounded up to a multiple of this, so that many deadlines share one wake-up. */
const WAKE_GRANULARITY_MS = 10;

export interface WakeTimerOptions {
    readonly now: () => number;
    readonly wake: () => void;
    /** Calls a function after a delay. Returns a function that cancels the delay. */
    readonly delay?: (callback: () => void, delayMs: number) => () => void;
}

export class WakeTimer {
    private readonly opts: Required<WakeTimerOptions>;
    private readonly wakeTimes = new Set<number>();
    private nextWakeAt = Infinity;
    private cancelDelay: (() => void) | undefined;
    private isStopped = false;

    constructor(opts: WakeTimerOptions) {
        this.opts = { delay: delayWithTimeout, ...opts };
    }

    wakeAt(at: number): void {
        if (this.isStopped) return;
        const time = Math.ceil(at / WAKE_GRANULARITY_MS) * WAKE_GRANULARITY_MS;
        this.wakeTimes.add(time);
        if (time < this.nextWakeAt) this.startDelay(time);
    }

    stop(): void {
        this.isStopped = true;
        this.cancelDelay?.();
    }

    private startDelay(time: number): void {
        this.cancelDelay?.();
        this.nextWakeAt = time;
        const delayMs = Math.max(0, Math.ceil(time - this.opts.now()));
        this.cancelDelay = this.opts.delay(() => this.onDelayElapsed(), delayMs);
    }

    private onDelayElapsed(): void {
        this.cancelDelay = undefined;
        this.nextWakeAt = Infinity;
        const now = this.opts.now();
        let isDue = false;
        let next = Infinity;
        // Node.js measures delays from the start of the event loop iteration, so a timer can fire early.
        for (const time of this.wakeTimes) {
            if (time > now) next = Math.min(next, time);
            else isDue = this.wakeTimes.delete(time);
        }
        if (next < Infinity) this.startDelay(next);
        if (isDue) this.opts.wake();
    }
}

function delayWithTimeout(callback: () => void, delayMs: number): () => void {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
}
