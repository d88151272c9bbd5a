/**
 * One node's share of the retry budget of all nodes. In any window, a service may receive at most `ratio` retries per
 * client request to it, plus a fixed slack. Each node spends only the part that its own client requests allow, plus an
 * equal part of the slack, so the limit on the sum of all nodes holds without coordination. A process that has just
 * started does not know how many nodes there are, nor what an earlier process has spent; until then, it has no part of
 * the slack.
 */

const BUCKETS_PER_WINDOW = 10;
/** The window of retries has one more bucket, since the current one is not full yet. */
const RETRY_BUCKETS = BUCKETS_PER_WINDOW + 1;
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
    /** Number of the latest bucket since time 0. Its index in a ring buffer is this modulo the buffer's length. */
    currentBucket: number;
}

export class RetryBudget {
    private readonly windows = new Map<string, SlidingWindow>();
    private readonly bucketMs: number;
    private nodeCount = 1;

    /** `slackFrom`: from when on this node has its part of the slack; by default, from the beginning. */
    constructor(private readonly options: RetryBudgetOptions, private slackFrom = -Infinity) {
        this.bucketMs = options.windowMs / BUCKETS_PER_WINDOW;
    }

    /** Sets the number of nodes that share the slack. */
    setNodeCount(count: number): void {
        this.nodeCount = Math.max(1, count);
    }

    /**
     * Grants this node its part of the slack, once it knows the other nodes. If an earlier process may have spent it, it
     * is granted one window later.
     */
    grantSlack(now: number, hasEarlierProcess: boolean): void {
        this.slackFrom = hasEarlierProcess ? now + this.options.windowMs : now;
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
            window.retries[window.currentBucket % RETRY_BUCKETS]! += attempts;
        }
        return true;
    }

    private canSpend({ service, attempts }: RetryCharge, now: number): boolean {
        const window = this.windowOf(service, now);
        const slack = now < this.slackFrom ? 0 : this.options.slack / this.nodeCount;
        const budget = this.options.ratio * sum(window.requests) + slack;
        return sum(window.retries) + attempts <= SAFETY_FACTOR * budget;
    }

    /** Returns the window of a service, advanced to `now`. */
    private windowOf(service: string, now: number): SlidingWindow {
        const bucket = Math.floor(now / this.bucketMs);
        let window = this.windows.get(service);
        if (window === undefined) {
            window = {
                requests: new Float64Array(BUCKETS_PER_WINDOW),
                retries: new Float64Array(RETRY_BUCKETS),
                currentBucket: bucket,
            };
            this.windows.set(service, window);
        }
        const elapsedBuckets = Math.min(bucket - window.currentBucket, RETRY_BUCKETS);
        for (let step = 1; step <= elapsedBuckets; step++) {
            window.requests[(window.currentBucket + step) % BUCKETS_PER_WINDOW] = 0;
            window.retries[(window.currentBucket + step) % RETRY_BUCKETS] = 0;
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
