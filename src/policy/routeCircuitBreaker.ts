/**
 * Circuit breaker with a circuit per route: the entry node refuses requests of a route while nearly all responses to
 * them are failures. Running these requests would only use capacity that other routes need. Besides, the caller of a
 * non-idempotent request can retry it only if it has not run. A share of the requests is admitted to detect recovery.
 */

const SMOOTHING_FACTOR = 0.03;
/** Failure rate from which a circuit is open. Below it, more callers are served if their requests are admitted. */
const OPEN_FAILURE_RATE = 0.975;
/** Share of the requests that is admitted while a circuit is open. */
const PROBE_SHARE = 0.1;
/** After this time without a response, the failure rate is out of date and the circuit closes. */
const OUTCOME_MAX_AGE_MS = 1000;

interface RouteFailures {
    failureRate: number;
    updatedAt: number;
}

export class RouteCircuitBreaker {
    private readonly routes = new Map<string, RouteFailures>();

    /** Records whether the response to a client request was a failure. */
    recordOutcome(route: string, hasFailed: boolean, now: number): void {
        const failures = this.routes.get(route);
        if (failures === undefined) {
            if (hasFailed) this.routes.set(route, { failureRate: SMOOTHING_FACTOR, updatedAt: now });
            return;
        }
        failures.failureRate += SMOOTHING_FACTOR * ((hasFailed ? 1 : 0) - failures.failureRate);
        failures.updatedAt = now;
    }

    /** Whether a client request of the route may run. `rand` returns numbers in [0, 1). */
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
