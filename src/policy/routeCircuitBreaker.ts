/**
 * Circuit breaker of each route: the entry node refuses requests of a route while nearly all of them fail. Running
 * them would only use up capacity that other routes need, and the caller of a non-idempotent request can retry it if
 * it has not run. A share of the requests is let through to detect recovery.
 */
const SMOOTHING_FACTOR = 0.03;
/** Failure rate from which the circuit is open. Below it, trying serves more callers than refusing. */
const OPEN_FAILURE_RATE = 0.975;
/** Share of the requests that is let through while the circuit is open. */
const PROBE_SHARE = 0.1;
/** After this long without a response, the failure rate is out of date and the circuit closes. */
const OUTCOME_MAX_AGE_MS = 1000;

interface RouteFailures {
    failureRate: number;
    updatedAt: number;
}

export class RouteCircuitBreaker {
    private readonly routes = new Map<string, RouteFailures>();

    /** Records a response to a client request. */
    recordOutcome(route: string, hasFailed: boolean, now: number): void {
        const failures = this.routes.get(route);
        if (failures === undefined) {
            if (hasFailed) this.routes.set(route, { failureRate: SMOOTHING_FACTOR, updatedAt: now });
            return;
        }
        failures.failureRate += SMOOTHING_FACTOR * ((hasFailed ? 1 : 0) - failures.failureRate);
        failures.updatedAt = now;
    }

    /** `rand` returns numbers in [0, 1). */
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
