/** Mean latency of the responses of each route, smoothed exponentially. */
const SMOOTHING_FACTOR = 1 / 32;
/** Most routes to track. Routes come from the configuration, so only many changes of it can reach this limit. */
const MAX_ROUTES = 5000;

export class RouteLatencies {
    private readonly meansMs = new Map<string, number>();

    /** Records the time in ms from the arrival of a request to its response. */
    record(route: string, latencyMs: number): void {
        const meanMs = this.meansMs.get(route);
        if (meanMs === undefined && this.meansMs.size >= MAX_ROUTES) this.meansMs.clear();
        this.meansMs.set(
            route,
            meanMs === undefined ? latencyMs : meanMs + SMOOTHING_FACTOR * (latencyMs - meanMs),
        );
    }

    /** Mean latency in ms; 0 before the first response. */
    meanMs(route: string): number {
        return this.meansMs.get(route) ?? 0;
    }
}
