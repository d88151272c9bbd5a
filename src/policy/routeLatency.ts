/** How long requests of each route take to be answered: a mean over the last answers, smoothed exponentially. */
const SMOOTHING = 1 / 32;
/** Routes remembered at most; routes come from the configuration, so this is a bound against many changes of it. */
const MAX_ROUTES = 5000;

export class RouteLatencies {
    private readonly means = new Map<string, number>();

    /** Notes the time from the arrival of a request to its answer, ms. */
    note(route: string, tookMs: number): void {
        const mean = this.means.get(route);
        if (mean === undefined && this.means.size >= MAX_ROUTES) this.means.clear();
        this.means.set(route, mean === undefined ? tookMs : mean + SMOOTHING * (tookMs - mean));
    }

    /** Mean time to an answer, ms; 0 before there was any. */
    meanMs(route: string): number {
        return this.means.get(route) ?? 0;
    }
}
