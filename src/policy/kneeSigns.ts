/**
 * Compares the runs that start near the limit of a target with less concurrent ones of the same moment. A trial of a
 * lower limit makes requests wait, so none is made while this shows that concurrency does not matter. The comparison
 * alone is no evidence of a knee: when a target becomes slow, its concurrency rises, too.
 */
const TICKS_PER_WINDOW = 2;
const NEAR_LIMIT_SHARE = 0.97;
/** Runs with a concurrency between the two shares are left out, since they overlap with both kinds. */
const MODERATE_SHARE = 0.85;
const MIN_SAMPLES = 5;
const SMOOTHING = 0.15;
/** Relative slowdown near the limit from which a trial is worth its cost. */
const MIN_SLOWDOWN = 0.05;
/** Windows of which the result is known; older ones count less with each window. */
const MIN_WINDOWS = 3;
const WINDOW_DECAY = 0.97;

export class KneeSigns {
    private nearSum = 0;
    private nearCount = 0;
    private moderateSum = 0;
    private moderateCount = 0;
    private slowdown = 0;
    private windows = 0;
    private ticks = 0;

    record(relativeTime: number, concurrency: number, limit: number): void {
        if (concurrency > limit * NEAR_LIMIT_SHARE) {
            this.nearSum += relativeTime;
            this.nearCount++;
        }
        else if (concurrency <= limit * MODERATE_SHARE) {
            this.moderateSum += relativeTime;
            this.moderateCount++;
        }
    }

    /** Called every 100 ms. */
    tick(): void {
        if (++this.ticks % TICKS_PER_WINDOW !== 0) return;
        this.windows *= WINDOW_DECAY;
        if (this.nearCount >= MIN_SAMPLES && this.moderateCount >= MIN_SAMPLES) {
            const slowdown = Math.log(
                this.nearSum / this.nearCount / (this.moderateSum / this.moderateCount),
            );
            this.slowdown += SMOOTHING * (slowdown - this.slowdown);
            this.windows++;
        }
        this.clearWindow();
    }

    /** Forgets what was seen, since the limit has changed. */
    clear(): void {
        this.slowdown = 0;
        this.windows = 0;
        this.clearWindow();
    }

    private clearWindow(): void {
        this.nearSum = 0;
        this.nearCount = 0;
        this.moderateSum = 0;
        this.moderateCount = 0;
    }

    /** `isEvidenceRequired`: whether a trial is made only if the comparison has been possible. */
    allowsTrial(isEvidenceRequired: boolean): boolean {
        if (this.windows < MIN_WINDOWS) return !isEvidenceRequired;
        return this.slowdown > MIN_SLOWDOWN;
    }
}
