/**
 * How many calls a run of each route makes, measured at the nodes beside the targets. A retry makes them again, at each
 * level of the chain, so they are charged to the retry budgets of the called services.
 */
export interface RouteCallCount {
    /** Route of the requests whose runs make the calls. */
    readonly route: string;
    /** Route of the calls, and the service that they were sent to. */
    readonly calledRoute: string;
    readonly service: string;
    /** Calls per run. */
    readonly calls: number;
}

interface Estimate {
    readonly calledRoute: string;
    readonly service: string;
    calls: number;
    /** Value that the other nodes know. */
    sentCalls: number;
}

/** Weight of a run with fewer calls than the estimate. A run with more raises it at once. */
const DECREASE_WEIGHT = 0.01;
/** The other nodes are told of an increase by more than this share. */
const MIN_REPORTED_INCREASE = 0.1;
/** Maximum number of routes to track, and of called routes for each. They only guard against misuse. */
const MAX_ROUTES = 5000;
const MAX_CALLED_ROUTES = 64;
/** Longest chain of calls that is followed. Routes can call each other in a circle. */
const MAX_DEPTH = 12;
const MAX_CALLS = 1_000_000;

/** Counts the calls that one run makes. */
export class CallTally {
    readonly counts = new Map<string, { calledRoute: string; service: string; calls: number; }>();

    add(calledRoute: string, service: string): void {
        const key = keyOf(calledRoute, service);
        const entry = this.counts.get(key);
        if (entry === undefined) this.counts.set(key, { calledRoute, service, calls: 1 });
        else entry.calls++;
    }
}

export class RouteCalls {
    private readonly estimatesByRoute = new Map<string, Map<string, Estimate>>();
    private readonly callsBelowByRoute = new Map<string, ReadonlyMap<string, number>>();

    /** Records the calls of a run that has ended. `isComplete`: it was answered, so it has made all of its calls. */
    observe(route: string, tally: CallTally | undefined, isComplete: boolean): void {
        if (tally === undefined && !this.estimatesByRoute.has(route)) return;
        for (const { calledRoute, service, calls } of tally?.counts.values() ?? []) {
            this.raise({ route, calledRoute, service, calls });
        }
        if (!isComplete) return;
        for (const [key, estimate] of this.estimatesByRoute.get(route) ?? []) {
            const calls = tally?.counts.get(key)?.calls ?? 0;
            if (calls >= estimate.calls) continue;
            estimate.calls += DECREASE_WEIGHT * (calls - estimate.calls);
            this.callsBelowByRoute.clear();
        }
    }

    /** Merges another node's estimates: the higher one is valid. */
    merge(counts: readonly RouteCallCount[]): void {
        for (const count of counts) {
            const estimate = this.raise(count);
            if (estimate !== undefined) estimate.sentCalls = Math.max(estimate.sentCalls, count.calls);
        }
    }

    all(): readonly RouteCallCount[] {
        return [...this.estimatesByRoute].flatMap(([route, estimates]) =>
            [...estimates.values()].map(({ calledRoute, service, calls }) => ({
                route,
                calledRoute,
                service,
                calls,
            }))
        );
    }

    /** Returns the estimates that have risen since they were last sent to the other nodes. */
    takeIncreases(): readonly RouteCallCount[] {
        const increases: RouteCallCount[] = [];
        for (const [route, estimates] of this.estimatesByRoute) {
            for (const estimate of estimates.values()) {
                const { calledRoute, service, calls, sentCalls } = estimate;
                if (calls <= sentCalls * (1 + MIN_REPORTED_INCREASE)) continue;
                estimate.sentCalls = calls;
                increases.push({ route, calledRoute, service, calls });
            }
        }
        return increases;
    }

    /** Calls per run of a route to each service, at all levels below it. */
    callsBelow(route: string): ReadonlyMap<string, number> {
        let calls = this.callsBelowByRoute.get(route);
        if (calls === undefined) {
            const sums = new Map<string, number>();
            this.addCallsBelow(route, 1, 0, sums);
            this.callsBelowByRoute.set(route, calls = sums);
        }
        return calls;
    }

    private addCallsBelow(route: string, runs: number, depth: number, sums: Map<string, number>): void {
        if (depth >= MAX_DEPTH) return;
        for (const { calledRoute, service, calls } of this.estimatesByRoute.get(route)?.values() ?? []) {
            const total = Math.min(MAX_CALLS, runs * calls);
            sums.set(service, Math.min(MAX_CALLS, (sums.get(service) ?? 0) + total));
            this.addCallsBelow(calledRoute, total, depth + 1, sums);
        }
    }

    private raise({ route, calledRoute, service, calls }: RouteCallCount): Estimate | undefined {
        let estimates = this.estimatesByRoute.get(route);
        if (estimates === undefined) {
            if (this.estimatesByRoute.size >= MAX_ROUTES) return undefined;
            this.estimatesByRoute.set(route, estimates = new Map<string, Estimate>());
        }
        const key = keyOf(calledRoute, service);
        let estimate = estimates.get(key);
        if (estimate === undefined) {
            if (estimates.size >= MAX_CALLED_ROUTES) return undefined;
            estimates.set(key, estimate = { calledRoute, service, calls: 0, sentCalls: 0 });
        }
        if (calls > estimate.calls) {
            estimate.calls = calls;
            this.callsBelowByRoute.clear();
        }
        return estimate;
    }
}

function keyOf(calledRoute: string, service: string): string {
    return `${service} ${calledRoute}`;
}
