/** For how long each route has been overloaded, told by its refusals. */

/** Without a refusal for this long, an overload is over. */
const QUIET_MS = 500;
/** Routes remembered at most; routes come from the configuration, so this is a bound against many changes of it. */
const MAX_ROUTES = 5000;

interface Span {
    readonly since: number;
    lastAt: number;
}

export class OverloadSpans {
    private readonly routes = new Map<string, Span>();

    /** Notes a refusal under overload; returns the time since the first one of the overload, ms. */
    note(route: string, now: number): number {
        let span = this.routes.get(route);
        if (span === undefined || now - span.lastAt > QUIET_MS) {
            if (this.routes.size >= MAX_ROUTES) this.routes.clear();
            this.routes.set(route, span = { since: now, lastAt: now });
        }
        span.lastAt = now;
        return now - span.since;
    }
}
