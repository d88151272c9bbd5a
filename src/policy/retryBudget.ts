/**
 * The share of one node in a budget of repeated sends that all nodes keep together. Over any window, a service may
 * get `ratio` times the requests of callers plus a fixed slack. Each node spends at most its own callers' part and an
 * equal part of the slack, so the sum holds without agreement.
 */
const BUCKETS_PER_WINDOW = 10;
/** Part of the allowance that is used: calls made by a repeated run count too and are only estimated. */
const SAFETY = 0.7;

export interface RetryBudgetOptions {
    readonly ratio: number;
    readonly slack: number;
    readonly windowMs: number;
}

/** Repeated sends that a service gets. */
export interface Charge {
    readonly service: string;
    readonly sends: number;
}

interface Ledger {
    readonly requests: Float64Array;
    readonly repeats: Float64Array;
    bucket: number;
}

export class RetryBudget {
    private readonly ledgers = new Map<string, Ledger>();
    private readonly bucketMs: number;
    private nodes = 1;

    constructor(private readonly options: RetryBudgetOptions) {
        this.bucketMs = options.windowMs / BUCKETS_PER_WINDOW;
    }

    setNodes(count: number): void {
        this.nodes = Math.max(1, count);
    }

    /** Notes a request of a caller on a route to a service. */
    noteRequest(service: string, now: number): void {
        const ledger = this.ledgerOf(service, now);
        ledger.requests[ledger.bucket % BUCKETS_PER_WINDOW]! += 1;
    }

    /** Takes a repeated send with all that it leads to out of the budgets, or nothing. */
    take(charges: readonly Charge[], now: number): boolean {
        if (!charges.every(charge => this.hasRoom(charge, now))) return false;
        for (const { service, sends } of charges) {
            const ledger = this.ledgerOf(service, now);
            ledger.repeats[ledger.bucket % BUCKETS_PER_WINDOW]! += sends;
        }
        return true;
    }

    private hasRoom({ service, sends }: Charge, now: number): boolean {
        const ledger = this.ledgerOf(service, now);
        const share = this.options.ratio * sum(ledger.requests) + this.options.slack / this.nodes;
        return sum(ledger.repeats) + sends <= SAFETY * share;
    }

    private ledgerOf(service: string, now: number): Ledger {
        const bucket = Math.floor(now / this.bucketMs);
        let ledger = this.ledgers.get(service);
        if (ledger === undefined) {
            const empty = () => new Float64Array(BUCKETS_PER_WINDOW);
            ledger = { requests: empty(), repeats: empty(), bucket };
            this.ledgers.set(service, ledger);
        }
        const passed = Math.min(bucket - ledger.bucket, BUCKETS_PER_WINDOW);
        for (let step = 1; step <= passed; step++) {
            ledger.requests[(ledger.bucket + step) % BUCKETS_PER_WINDOW] = 0;
            ledger.repeats[(ledger.bucket + step) % BUCKETS_PER_WINDOW] = 0;
        }
        ledger.bucket = bucket;
        return ledger;
    }
}

function sum(values: Float64Array): number {
    let total = 0;
    for (const value of values) total += value;
    return total;
}
