/** Tracks the mean response latency of each route as an exponential moving average. */

const SMOOTHING_FACTOR = 1 / 32;
/** Maximum number of routes to track. Routes are configured, so only many configuration changes can reach it. */
const MAX_ROUTES = 5000;

export class RouteLatencies {
    private readonly meansMs = new Map<string, number>();

    /** Records the latency of a response: the time in ms since the request arrived. */
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
