/** A timer for the earliest time at which something is due. It can be moved to an earlier time, but not to a later one. */

/** Minimum delay, so that what is due at about the same time shares a wake-up of the process. */
const MIN_DELAY_MS = 5;

export class DueTimer {
    private timer: NodeJS.Timeout | undefined;
    private firesAt = Infinity;

    constructor(private readonly onDue: () => void) {}

    get isRunning(): boolean {
        return this.timer !== undefined;
    }

    /** Whether the timer would fire too late for `dueAt`. */
    isLateFor(dueAt: number): boolean {
        return dueAt < this.firesAt - MIN_DELAY_MS;
    }

    start(dueAt: number, now: number): void {
        const firesAt = Math.max(dueAt, now + MIN_DELAY_MS);
        if (firesAt >= this.firesAt) return;
        this.stop();
        this.firesAt = firesAt;
        // Timers of Node.js may fire up to 1 ms early, when nothing would be due yet.
        this.timer = setTimeout(() => {
            this.stop();
            this.onDue();
        }, Math.ceil(firesAt - now) + 1);
    }

    stop(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        this.firesAt = Infinity;
    }
}
