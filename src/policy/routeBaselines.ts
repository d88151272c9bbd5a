/**
 * Baselines of the service time by route. Routes differ in their inherent service time, so a run is compared with
 * earlier runs of its own route. The baseline follows the target's speed slowly: a slow phase of some seconds shows as
 * a difference from it.
 */
interface Baseline {
    ms: number;
    sampleCount: number;
    /** Seconds with samples. */
    seconds: number;
    sumMs: number;
    count: number;
    lastUsedAt: number;
}

/** More routes than a service has on any known day. Routes beyond it are not judged. */
const MAX_ROUTES = 64;
/** An entry is removed after this time without runs, so that routes of old configurations leave room for new ones. */
const UNUSED_AFTER_MS = 60_000;
/** Runs of a route before its baseline is used. */
const MIN_SAMPLES = 10;
/** Weight of one second in an established baseline: it follows a lasting change within about a minute. */
const SMOOTHING_PER_SECOND = 0.02;
/** A single slow run counts as this multiple of its baseline at most. */
const MAX_RELATIVE_TIME = 10;

export class RouteBaselines {
    private readonly baselines = new Map<string, Baseline>();

    /** Records a run and returns its service time relative to its route's baseline; 0 while there is no baseline. */
    record(route: string, elapsedMs: number, now: number): number {
        let baseline = this.baselines.get(route);
        if (baseline === undefined) {
            if (this.baselines.size >= MAX_ROUTES) return 0;
            baseline = { ms: elapsedMs, sampleCount: 0, seconds: 0, sumMs: 0, count: 0, lastUsedAt: now };
            this.baselines.set(route, baseline);
        }
        baseline.sumMs += elapsedMs;
        baseline.count++;
        baseline.lastUsedAt = now;
        if (++baseline.sampleCount <= MIN_SAMPLES) {
            baseline.ms += (elapsedMs - baseline.ms) / baseline.sampleCount;
            return 0;
        }
        return baseline.ms <= 0 ? 0 : Math.min(MAX_RELATIVE_TIME, elapsedMs / baseline.ms);
    }

    /** Moves the baselines towards the means of the last second. Called once a second. */
    endSecond(now: number): void {
        for (const [route, baseline] of this.baselines) {
            if (now - baseline.lastUsedAt > UNUSED_AFTER_MS) this.baselines.delete(route);
            if (baseline.count === 0 || baseline.sumMs <= 0) continue;
            baseline.seconds++;
            const weight = Math.max(SMOOTHING_PER_SECOND, 1 / (baseline.seconds + 1));
            // The geometric mean, since a slow phase can be many times slower.
            baseline.ms *= (baseline.sumMs / baseline.count / baseline.ms) ** weight;
            baseline.sumMs = 0;
            baseline.count = 0;
        }
    }

    clear(): void {
        this.baselines.clear();
    }
}
