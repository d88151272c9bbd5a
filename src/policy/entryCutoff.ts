/**
 * The level up to which the entry admits requests of a route: that of the service below with the least room, each
 * service taken as the mean of its targets. Targets tell their cut-offs as they change, so the entry follows within a
 * tick and a hop, however deep the chain is.
 */
import { MAX_LEVEL } from "./level.ts";

export interface CutoffSource {
    readonly isUsable: boolean;
    readonly cutoff: number;
}

const CACHE_MS = 20;

export class EntryCutoffs {
    private readonly cache = new Map<string, { level: number; at: number; }>();

    constructor(private readonly targetsOf: (service: string) => readonly CutoffSource[]) {}

    /** The lowest cut-off of these services. */
    lowestOf(services: readonly string[], now: number): number {
        let lowest = MAX_LEVEL;
        for (const service of services) lowest = Math.min(lowest, this.cutoffOf(service, now));
        return lowest;
    }

    cutoffOf(service: string, now: number): number {
        let cached = this.cache.get(service);
        if (cached === undefined) this.cache.set(service, cached = { level: MAX_LEVEL, at: -Infinity });
        if (now - cached.at >= CACHE_MS) {
            cached.level = meanCutoff(this.targetsOf(service));
            cached.at = now;
        }
        return cached.level;
    }
}

function meanCutoff(targets: readonly CutoffSource[]): number {
    let sum = 0;
    let count = 0;
    for (const { isUsable, cutoff } of targets) {
        if (!isUsable) continue;
        sum += cutoff;
        count++;
    }
    return count === 0 ? MAX_LEVEL : Math.round(sum / count);
}
