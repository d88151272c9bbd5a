/** Tracks how long each route has been overloaded, judged by its refusals. */

/** An overload is over after this time without a refusal. */
const MAX_REFUSAL_GAP_MS = 500;
/** Maximum number of routes to track. Routes are configured, so only many configuration changes can reach it. */
const MAX_ROUTES = 5000;

interface OverloadPeriod {
    readonly startedAt: number;
    lastRefusalAt: number;
}

export class OverloadTracker {
    private readonly periods = new Map<string, OverloadPeriod>();

    /** Records a refusal due to overload; returns the time in ms since the first refusal of this overload. */
    recordRefusal(route: string, now: number): number {
        let period = this.periods.get(route);
        if (period === undefined || now - period.lastRefusalAt > MAX_REFUSAL_GAP_MS) {
            if (this.periods.size >= MAX_ROUTES) this.periods.clear();
            this.periods.set(route, period = { startedAt: now, lastRefusalAt: now });
        }
        period.lastRefusalAt = now;
        return now - period.startedAt;
    }
}
