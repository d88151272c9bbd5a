/**
 * Smoothed service time and failure rate of a target, from which its node computes the service time that it reports to
 * callers. With `learnsCapacity`, failed responses do not count as service time, since a fast failure says nothing
 * about the speed, and a sample after an unusually long time without samples has more weight: a target that was slow gets
 * few requests, and these must show that it has recovered.
 */
export interface ServiceTimeOptions {
    readonly learnsCapacity: boolean;
}

const SERVICE_TIME_SMOOTHING = 0.05;
const FAILURE_RATE_SMOOTHING = 0.04;
/** Weight of the failure rate in the reported service time: at 10% failures, it is 1.8 times the measured one. */
const FAILURE_RATE_PENALTY = 8;
/** A sample has more weight if it comes after more than this many usual intervals between samples. */
const USUAL_INTERVALS = 2;
/** Below 1, since a single request may be slow by chance. */
const MAX_SAMPLE_WEIGHT = 0.8;
/** The usual interval is the mean of this many samples, and follows changes as slowly later on. */
const INTERVAL_SAMPLES = 100;
/** From this number of samples on, a longer interval counts as twice the usual one only, so that it stays unusual. */
const MIN_INTERVAL_SAMPLES = 20;

export class ServiceTime {
    private smoothedMs = 0;
    private failureRate = 0;
    private lastSampleAt = 0;
    private usualIntervalMs = 0;
    private sampleCount = 0;

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
        this.sampleCount = 0;
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
        if (++this.sampleCount === 1) return 1;
        const intervalMs = now - this.lastSampleAt;
        const weight = SERVICE_TIME_SMOOTHING * intervalMs / (USUAL_INTERVALS * this.usualIntervalMs);
        const isUsualKnown = this.sampleCount > MIN_INTERVAL_SAMPLES && this.usualIntervalMs > 0;
        const countedMs = isUsualKnown ? Math.min(intervalMs, 2 * this.usualIntervalMs) : intervalMs;
        this.usualIntervalMs += (countedMs - this.usualIntervalMs)
            / Math.min(INTERVAL_SAMPLES, this.sampleCount - 1);
        if (!isUsualKnown) return SERVICE_TIME_SMOOTHING;
        return Math.max(SERVICE_TIME_SMOOTHING, Math.min(MAX_SAMPLE_WEIGHT, weight));
    }
}
