/**
 * Refuses requests of a route at the entry while nearly all of them fail below: running them would only use up
 * capacity that other routes need, and a request that must not be repeated can come back if it has not run. A part is
 * let through to see when it gets better.
 */
const SMOOTHING_FACTOR = 0.03;
/** Share of failures from which a route counts as failing: below it, trying serves more callers than refusing. */
const OPEN_FAILURE_RATE = 0.975;
const PROBE_SHARE = 0.1;
/** Without an answer for this long, nothing is known any more. */
const OUTCOME_MAX_AGE_MS = 1000;

interface RouteFailures {
    failureRate: number;
    updatedAt: number;
}

export class RouteCircuitBreaker {
    private readonly routes = new Map<string, RouteFailures>();

    /** Notes an answer to a request of a client. */
    recordOutcome(route: string, hasFailed: boolean, now: number): void {
        const failures = this.routes.get(route);
        if (failures === undefined) {
            if (hasFailed) this.routes.set(route, { failureRate: SMOOTHING_FACTOR, updatedAt: now });
            return;
        }
        failures.failureRate += SMOOTHING_FACTOR * ((hasFailed ? 1 : 0) - failures.failureRate);
        failures.updatedAt = now;
    }

    /** `rand` gives numbers in [0, 1). */
    isAdmitted(route: string, now: number, rand: () => number): boolean {
        const failures = this.routes.get(route);
        if (failures === undefined || failures.failureRate < OPEN_FAILURE_RATE) return true;
        if (now - failures.updatedAt > OUTCOME_MAX_AGE_MS) {
            this.routes.delete(route);
            return true;
        }
        return rand() < PROBE_SHARE;
    }
}
