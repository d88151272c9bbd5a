/**
 * The share of one node in a budget of repeated sends that all nodes keep together. Over any window, a service may
 * get `ratio` times the requests of callers plus a fixed slack. Each node spends at most its own callers' part and an
 * equal part of the slack, so the sum holds without agreement.
 */
const BUCKETS_PER_WINDOW = 10;
/** Part of the allowance that is used: calls made by a repeated run count too and are only estimated. */
const SAFETY_FACTOR = 0.7;

export interface RetryBudgetOptions {
    readonly ratio: number;
    readonly slack: number;
    readonly windowMs: number;
}

/** Repeated sends that a service gets. */
export interface RetryCharge {
    readonly service: string;
    readonly attempts: number;
}

interface SlidingWindow {
    readonly requests: Float64Array;
    readonly retries: Float64Array;
    currentBucket: number;
}

export class RetryBudget {
    private readonly windows = new Map<string, SlidingWindow>();
    private readonly bucketMs: number;
    private nodeCount = 1;

    constructor(private readonly options: RetryBudgetOptions) {
        this.bucketMs = options.windowMs / BUCKETS_PER_WINDOW;
    }

    setNodeCount(count: number): void {
        this.nodeCount = Math.max(1, count);
    }

    /** Notes a request of a caller on a route to a service. */
    recordRequest(service: string, now: number): void {
        const window = this.windowOf(service, now);
        window.requests[window.currentBucket % BUCKETS_PER_WINDOW]! += 1;
    }

    /** Takes a repeated send with all that it leads to out of the budgets, or nothing. */
    trySpend(charges: readonly RetryCharge[], now: number): boolean {
        if (!charges.every(charge => this.canSpend(charge, now))) return false;
        for (const { service, attempts } of charges) {
            const window = this.windowOf(service, now);
            window.retries[window.currentBucket % BUCKETS_PER_WINDOW]! += attempts;
        }
        return true;
    }

    private canSpend({ service, attempts }: RetryCharge, now: number): boolean {
        const window = this.windowOf(service, now);
        const allowance = this.options.ratio * sum(window.requests) + this.options.slack / this.nodeCount;
        return sum(window.retries) + attempts <= SAFETY_FACTOR * allowance;
    }

    private windowOf(service: string, now: number): SlidingWindow {
        const bucket = Math.floor(now / this.bucketMs);
        let window = this.windows.get(service);
        if (window === undefined) {
            const zeros = () => new Float64Array(BUCKETS_PER_WINDOW);
            window = { requests: zeros(), retries: zeros(), currentBucket: bucket };
            this.windows.set(service, window);
        }
        const elapsedBuckets = Math.min(bucket - window.currentBucket, BUCKETS_PER_WINDOW);
        for (let step = 1; step <= elapsedBuckets; step++) {
            window.requests[(window.currentBucket + step) % BUCKETS_PER_WINDOW] = 0;
            window.retries[(window.currentBucket + step) % BUCKETS_PER_WINDOW] = 0;
        }
        window.currentBucket = bucket;
        return window;
    }
}

function sum(values: Float64Array): number {
    let total = 0;
    for (const value of values) total += value;
    return total;
}
