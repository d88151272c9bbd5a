/** Detects that a busy target has become silent, and admits single trial runs to find out whether it responds again. */

/** A busy target counts as silent if it completes no response for this time and for this many service times. */
export const SILENCE_TIMEOUT_MS = 700;
const SILENCE_SERVICE_TIMES = 6;
/** A silent target is sent at most one new run per interval, to find out whether it responds again. */
const TRIAL_INTERVAL_MS = 300;

export class SilenceDetector {
    private lastProgressAt = 0;
    private lastTrialAt = 0;

    /** Records a response, or the start of a run at an idle target. */
    recordProgress(now: number): void {
        this.lastProgressAt = now;
    }

    /** Whether a target that has runs in progress is silent. */
    isSilent(now: number, serviceMs: number): boolean {
        return now - this.lastProgressAt > Math.max(SILENCE_TIMEOUT_MS, SILENCE_SERVICE_TIMES * serviceMs);
    }

    /** Whether a run may be sent to a silent target as the trial of this interval. */
    takeTrial(now: number): boolean {
        if (now - this.lastTrialAt < TRIAL_INTERVAL_MS) return false;
        this.lastTrialAt = now;
        return true;
    }
}
