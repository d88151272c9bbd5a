/**
 * One node's share of a retry budget that holds over all nodes. In any window, a service may receive at most `ratio`
 * retries per client request, plus a fixed slack. Each node spends at most the part earned by its own clients'
 * requests and an equal part of the slack, so the bound on the sum holds without coordination.
 */
const BUCKETS_PER_WINDOW = 10;
/** Share of the allowance that is spent: the calls that a retried request makes count too, but are estimates. */
const SAFETY_FACTOR = 0.7;

export interface RetryBudgetOptions {
    /** Retries allowed per client request. */
    readonly ratio: number;
    /** Further retries allowed per window and service, summed over all nodes. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Attempts that a retry adds at one service. */
export interface RetryCharge {
    readonly service: string;
    readonly attempts: number;
}

/** Ring buffers of the counts of the latest buckets. */
interface SlidingWindow {
    readonly requests: Float64Array;
    readonly retries: Float64Array;
    /** Number of the latest bucket, counted from time 0; its index is the number modulo `BUCKETS_PER_WINDOW`. */
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

    /** Records a client request on a route to a service. */
    recordRequest(service: string, now: number): void {
        const window = this.windowOf(service, now);
        window.requests[window.currentBucket % BUCKETS_PER_WINDOW]! += 1;
    }

    /** Takes all charges of a retry out of the budgets, or none if one budget is too low; returns whether it did. */
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

    /** Window of a service, advanced to `now`. */
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
