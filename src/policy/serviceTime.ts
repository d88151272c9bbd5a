/**
 * Smoothed service time and failure rate of a target, from which its node computes the service time that it reports to
 * callers. With `learnsCapacity`, failed responses do not count as service time, since a fast failure says nothing
 * about the speed, and a sample after a time without samples has more weight, so that a few requests show that a target
 * has recovered.
 */
export interface ServiceTimeOptions {
    readonly learnsCapacity: boolean;
}

const SERVICE_TIME_SMOOTHING = 0.05;
const FAILURE_RATE_SMOOTHING = 0.04;
/** Weight of the failure rate in the reported service time: at 10% failures, it is 1.8 times the measured one. */
const FAILURE_RATE_PENALTY = 8;
/** A sample that comes this long after the previous one has the maximum weight; earlier ones proportionally less. */
const FULL_WEIGHT_GAP_MS = 1000;
/** Below 1, since a single request may be slow by chance. */
const MAX_SAMPLE_WEIGHT = 0.5;

export class ServiceTime {
    private smoothedMs = 0;
    private failureRate = 0;
    private lastSampleAt = 0;

    constructor(private readonly options: ServiceTimeOptions) {}

    /** Smoothed time in ms that the target takes to process a request; 0 if it has processed none. */
    get ms(): number {
        return this.smoothedMs;
    }

    /** The service time that callers compare: failures make it longer. */
    get reportedMs(): number {
        return this.smoothedMs * (1 + FAILURE_RATE_PENALTY * this.failureRate);
    }

    reset(): void {
        this.smoothedMs = 0;
        this.failureRate = 0;
    }

    recordResponse(elapsedMs: number, hasFailed: boolean, now: number): void {
        if (hasFailed && this.options.learnsCapacity) return;
        const weight = this.options.learnsCapacity ? this.weightAt(now) : SERVICE_TIME_SMOOTHING;
        this.smoothedMs = this.smoothedMs === 0
            ? elapsedMs
            : this.smoothedMs + weight * (elapsedMs - this.smoothedMs);
        this.lastSampleAt = now;
    }

    recordOutcome(hasFailed: boolean): void {
        this.failureRate += FAILURE_RATE_SMOOTHING * ((hasFailed ? 1 : 0) - this.failureRate);
    }

    private weightAt(now: number): number {
        const weight = (now - this.lastSampleAt) / FULL_WEIGHT_GAP_MS;
        return Math.max(SERVICE_TIME_SMOOTHING, Math.min(MAX_SAMPLE_WEIGHT, weight));
    }
}
