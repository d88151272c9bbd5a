/** For how long each route has been overloaded, told by its refusals. */

/** Without a refusal for this long, an overload is over. */
const MAX_REFUSAL_GAP_MS = 500;
/** Routes remembered at most; routes come from the configuration, so this is a bound against many changes of it. */
const MAX_ROUTES = 5000;

interface OverloadPeriod {
    readonly startedAt: number;
    lastRefusalAt: number;
}

export class OverloadTracker {
    private readonly periods = new Map<string, OverloadPeriod>();

    /** Notes a refusal under overload; returns the time since the first one of the overload, ms. */
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
