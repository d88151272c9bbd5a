/**
 * One node's share of the retry budget of all nodes. In any window, a service may receive at most `ratio` retries per
 * client request to it, plus a fixed slack. Each node spends only the part that its own client requests allow, plus an
 * equal part of the slack, so the limit on the sum of all nodes holds without coordination.
 */

const BUCKETS_PER_WINDOW = 10;
/** Share of the budget that may be spent; the rest is a margin, since the charges of a retry are only estimates. */
const SAFETY_FACTOR = 0.7;

export interface RetryBudgetOptions {
    /** Retries of a service allowed per client request to it. */
    readonly ratio: number;
    /** Further retries allowed per window and service, summed over all nodes. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Estimated number of attempts that a retry adds at one service. */
export interface RetryCharge {
    readonly service: string;
    readonly attempts: number;
}

/** Counts of requests and retries in the buckets of a window, as ring buffers. */
interface SlidingWindow {
    readonly requests: Float64Array;
    readonly retries: Float64Array;
    /** Number of the latest bucket since time 0. Its index in the ring buffers is this modulo `BUCKETS_PER_WINDOW`. */
    currentBucket: number;
}

export class RetryBudget {
    private readonly windows = new Map<string, SlidingWindow>();
    private readonly bucketMs: number;
    private nodeCount = 1;

    constructor(private readonly options: RetryBudgetOptions) {
        this.bucketMs = options.windowMs / BUCKETS_PER_WINDOW;
    }

    /** Sets the number of nodes that share the slack. */
    setNodeCount(count: number): void {
        this.nodeCount = Math.max(1, count);
    }

    /** Records a client request to a service. */
    recordRequest(service: string, now: number): void {
        const window = this.windowOf(service, now);
        window.requests[window.currentBucket % BUCKETS_PER_WINDOW]! += 1;
    }

    /** Spends all charges of a retry and returns true, or spends none and returns false if one budget is too low. */
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
        const budget = this.options.ratio * sum(window.requests) + this.options.slack / this.nodeCount;
        return sum(window.retries) + attempts <= SAFETY_FACTOR * budget;
    }

    /** Returns the window of a service, advanced to `now`. */
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
