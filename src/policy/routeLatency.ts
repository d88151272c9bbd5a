/** How long requests of each route take to be answered: a mean over the last answers, smoothed exponentially. */
const SMOOTHING_FACTOR = 1 / 32;
/** Routes remembered at most; routes come from the configuration, so this is a bound against many changes of it. */
const MAX_ROUTES = 5000;

export class RouteLatencies {
    private readonly meansMs = new Map<string, number>();

    /** Notes the time from the arrival of a request to its answer, ms. */
    record(route: string, latencyMs: number): void {
        const meanMs = this.meansMs.get(route);
        if (meanMs === undefined && this.meansMs.size >= MAX_ROUTES) this.meansMs.clear();
        this.meansMs.set(
            route,
            meanMs === undefined ? latencyMs : meanMs + SMOOTHING_FACTOR * (latencyMs - meanMs),
        );
    }

    /** Mean time to an answer, ms; 0 before there was any. */
    meanMs(route: string): number {
        return this.meansMs.get(route) ?? 0;
    }
}
