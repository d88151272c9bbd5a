/**
 * Refuses requests of a route at the entry while nearly all of them fail below: running them would only use up
 * capacity that other routes need, and a request that must not be repeated can come back if it has not run. A part is
 * let through to see when it gets better.
 */
const SMOOTHING = 0.03;
/** Share of failures from which a route counts as failing: below it, trying serves more callers than refusing. */
const FAILING_SHARE = 0.975;
const TRIAL_SHARE = 0.1;
/** Without an answer for this long, nothing is known any more. */
const FRESH_MS = 1000;

interface Outcomes {
    failures: number;
    at: number;
}

export class RouteBreaker {
    private readonly routes = new Map<string, Outcomes>();

    /** Notes an answer to a request of a client. */
    note(route: string, hasFailed: boolean, now: number): void {
        const known = this.routes.get(route);
        if (known === undefined) {
            if (hasFailed) this.routes.set(route, { failures: SMOOTHING, at: now });
            return;
        }
        known.failures += SMOOTHING * ((hasFailed ? 1 : 0) - known.failures);
        known.at = now;
    }

    /** `rand` gives numbers in [0, 1). */
    isAdmitted(route: string, now: number, rand: () => number): boolean {
        const known = this.routes.get(route);
        if (known === undefined || known.failures < FAILING_SHARE) return true;
        if (now - known.at > FRESH_MS) {
            this.routes.delete(route);
            return true;
        }
        return rand() < TRIAL_SHARE;
    }
}
