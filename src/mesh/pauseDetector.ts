/**
 * Detects that the process did not run for a while, e.g. because it was stopped or its host was frozen. What is read
 * from a socket right after a pause may have waited in the kernel for the whole pause, so time limits that it states in
 * relation to its arrival may have passed.
 */

/** A shorter delay is normal on a busy host. */
const MIN_PAUSE_MS = 300;

export class PauseDetector {
    private lastTickAt: number | undefined;
    /** Length in ms of a pause that a tick has seen in this turn of the event loop, before the sockets are read. */
    private seenPauseMs = 0;

    /** `periodMs`: time between calls of `tick`. */
    constructor(private readonly periodMs: number) {}

    /** Call at regular intervals with the current time of `steadyNow`. */
    tick(now: number): void {
        const pauseMs = this.pauseMs(now);
        this.lastTickAt = now;
        if (pauseMs === 0) return;
        this.seenPauseMs = pauseMs;
        setImmediate(() => this.seenPauseMs = 0);
    }

    /** Time in ms for which bytes that are read now may have waited; 0 without a pause. */
    pauseMs(now: number): number {
        if (this.lastTickAt === undefined) return 0;
        const lateMs = now - this.lastTickAt - this.periodMs;
        return Math.max(this.seenPauseMs, lateMs > MIN_PAUSE_MS ? lateMs : 0);
    }
}
