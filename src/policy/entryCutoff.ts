/**
 * Admission cutoffs of services at the entry node, the node that receives a request from a client. The cutoff
 * for a request is the lowest of those of the called service and of the route's dependencies (`Forwarder.cutoffFor`).
 *
 * Nodes compute their target's cutoff every 100 ms and broadcast a change at once. An entry node therefore applies it
 * after one network hop and at most `CACHE_TTL_MS`, regardless of the length of the chain of calls.
 *
 * The cutoff of a service combines those of its targets: each target's cutoff is converted to the share of the demand
 * that it admits, the shares are averaged, weighted by the service rate of the targets if it is known, and the mean is
 * converted back to a level. A mean of the cutoff levels would be wrong: a target without overload has the cutoff
 * `MAX_LEVEL`, usually far above the levels of all requests, so one such target would cancel the cutoffs of the others.
 */
import { LEVELS_PER_PRIORITY, MAX_LEVEL } from "./admissionLevel.ts";

export interface TargetCutoff {
    readonly isUsable: boolean;
    readonly cutoff: number;
    readonly report: { readonly limit: number; readonly serviceMs: number; } | undefined;
}

const CACHE_TTL_MS = 20;
const PRIORITY_COUNT = (MAX_LEVEL + 1) / LEVELS_PER_PRIORITY;
/** Number of requests after which the newer requests make up half of the demand estimate. */
const DEMAND_HALF_LIFE_REQUESTS = 500;

export class EntryCutoffs {
    private readonly cache = new Map<string, { level: number; computedAt: number; }>();
    /**
     * Counts of recent requests by priority, initially uniform. All counts are halved when their total reaches twice
     * the half-life, so that older requests lose weight.
     */
    private readonly demand = new Float64Array(PRIORITY_COUNT).fill(1);
    private totalDemand = PRIORITY_COUNT;

    constructor(private readonly targetsOf: (service: string) => readonly TargetCutoff[]) {}

    /** Records a client request, whether or not it is admitted. */
    recordRequest(level: number): void {
        this.demand[priorityOf(level)]! += 1;
        if (++this.totalDemand < 2 * DEMAND_HALF_LIFE_REQUESTS) return;
        this.totalDemand /= 2;
        for (let priority = 0; priority < PRIORITY_COUNT; priority++) this.demand[priority]! /= 2;
    }

    /** Lowest cutoff of the given services; `MAX_LEVEL` if there are none. */
    lowestCutoffOf(services: readonly string[], now: number): number {
        let lowest = MAX_LEVEL;
        for (const service of services) lowest = Math.min(lowest, this.cutoffOf(service, now));
        return lowest;
    }

    /**
     * Cutoff of a service, combined from those of its usable targets; `MAX_LEVEL` if there are none. It is recomputed
     * at most every `CACHE_TTL_MS`.
     */
    cutoffOf(service: string, now: number): number {
        let cached = this.cache.get(service);
        if (cached === undefined) {
            this.cache.set(service, cached = { level: MAX_LEVEL, computedAt: -Infinity });
        }
        if (now - cached.computedAt >= CACHE_TTL_MS) {
            cached.level = this.combinedCutoffOf(this.targetsOf(service));
            cached.computedAt = now;
        }
        return cached.level;
    }

    private combinedCutoffOf(targets: readonly TargetCutoff[]): number {
        let lowest = MAX_LEVEL;
        let highest = 0;
        for (const { isUsable, cutoff } of targets) {
            if (!isUsable) continue;
            lowest = Math.min(lowest, cutoff);
            highest = Math.max(highest, cutoff);
        }
        // All usable targets have the same cutoff, or no target is usable and `lowest` is `MAX_LEVEL`.
        if (lowest >= highest) return lowest;
        return this.levelForShare(this.admittedShare(targets), lowest, highest);
    }

    private admittedShare(targets: readonly TargetCutoff[]): number {
        const usable = targets.filter(({ isUsable }) => isUsable);
        const weights = weightsOf(usable);
        let admittedCapacity = 0;
        let totalCapacity = 0;
        usable.forEach(({ cutoff }, index) => {
            admittedCapacity += weights[index]! * this.demandShareUpTo(cutoff);
            totalCapacity += weights[index]!;
        });
        return admittedCapacity / totalCapacity;
    }

    /** Share of the demand up to a level, assuming that levels are distributed uniformly within each priority. */
    private demandShareUpTo(level: number): number {
        const lastPriority = priorityOf(level);
        let sum = this.demand[lastPriority]! * (level + 1 - lastPriority * LEVELS_PER_PRIORITY)
            / LEVELS_PER_PRIORITY;
        for (let priority = 0; priority < lastPriority; priority++) sum += this.demand[priority]!;
        return sum / this.totalDemand;
    }

    /** Cutoff that admits a share of the demand, clamped to the range from `lowest` to `highest`. */
    private levelForShare(share: number, lowest: number, highest: number): number {
        let remaining = share * this.totalDemand;
        for (let priority = 0; priority < PRIORITY_COUNT; priority++) {
            const demand = this.demand[priority]!;
            if (demand > remaining) {
                const level = priority * LEVELS_PER_PRIORITY
                    + Math.floor(remaining / demand * LEVELS_PER_PRIORITY) - 1;
                return Math.min(highest, Math.max(lowest, level));
            }
            remaining -= demand;
        }
        return highest;
    }
}

function priorityOf(level: number): number {
    return Math.min(PRIORITY_COUNT - 1, Math.floor(level / LEVELS_PER_PRIORITY));
}

/** Service rate of each target in requests per ms, or equal weights if any target has not reported its service time. */
function weightsOf(targets: readonly TargetCutoff[]): readonly number[] {
    const rates = targets.map(({ report }) =>
        report === undefined || report.serviceMs === 0 ? 0 : report.limit / report.serviceMs
    );
    return rates.includes(0) ? rates.map(() => 1) : rates;
}
