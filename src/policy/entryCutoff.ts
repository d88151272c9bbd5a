/**
 * The level up to which the entry admits requests of a route: that of the service below with the least room. Targets
 * tell their cut-offs as they change, so the entry follows within a tick and a hop, however deep the chain is.
 *
 * The cut-offs of a service's targets are combined as shares of the demand that they admit, weighted by what each
 * target serves where that is known. A mean of the levels themselves would let one target without a cut-off, whose
 * level lies far above those of all requests, undo the cut-offs of the others.
 */
import { BUCKETS, MAX_LEVEL } from "./level.ts";

export interface CutoffSource {
    readonly isUsable: boolean;
    readonly cutoff: number;
    readonly report: { readonly limit: number; readonly serviceMs: number; } | undefined;
}

const CACHE_MS = 20;
const PRIORITIES = (MAX_LEVEL + 1) / BUCKETS;
/** Requests after which half of what is known of the demand comes from later ones. */
const DEMAND_HALF_LIFE = 500;

export class EntryCutoffs {
    private readonly cache = new Map<string, { level: number; at: number; }>();
    /** Recent requests by priority, at first taken as even; the total is kept below twice the half-life. */
    private readonly demand = new Float64Array(PRIORITIES).fill(1);
    private total = PRIORITIES;

    constructor(private readonly targetsOf: (service: string) => readonly CutoffSource[]) {}

    /** Notes a request of a client, admitted or not. */
    noteRequest(level: number): void {
        this.demand[priorityOf(level)]! += 1;
        if (++this.total < 2 * DEMAND_HALF_LIFE) return;
        this.total /= 2;
        for (let priority = 0; priority < PRIORITIES; priority++) this.demand[priority]! /= 2;
    }

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
            cached.level = this.combine(this.targetsOf(service));
            cached.at = now;
        }
        return cached.level;
    }

    private combine(targets: readonly CutoffSource[]): number {
        let lowest = MAX_LEVEL;
        let highest = 0;
        for (const { isUsable, cutoff } of targets) {
            if (!isUsable) continue;
            lowest = Math.min(lowest, cutoff);
            highest = Math.max(highest, cutoff);
        }
        if (lowest >= highest) return lowest;
        return this.levelAdmitting(this.admittedShare(targets), lowest, highest);
    }

    private admittedShare(targets: readonly CutoffSource[]): number {
        const usable = targets.filter(({ isUsable }) => isUsable);
        const weights = weightsOf(usable);
        let admitted = 0;
        let capacity = 0;
        usable.forEach(({ cutoff }, index) => {
            admitted += weights[index]! * this.shareUpTo(cutoff);
            capacity += weights[index]!;
        });
        return admitted / capacity;
    }

    /** Share of the demand up to a level, taken as even within each priority. */
    private shareUpTo(level: number): number {
        const whole = priorityOf(level);
        let sum = this.demand[whole]! * (level + 1 - whole * BUCKETS) / BUCKETS;
        for (let priority = 0; priority < whole; priority++) sum += this.demand[priority]!;
        return sum / this.total;
    }

    /** The level up to which a share of the demand is admitted, between two levels. */
    private levelAdmitting(share: number, lowest: number, highest: number): number {
        let rest = share * this.total;
        for (let priority = 0; priority < PRIORITIES; priority++) {
            const wanted = this.demand[priority]!;
            if (wanted > rest) {
                const level = priority * BUCKETS + Math.floor(rest / wanted * BUCKETS) - 1;
                return Math.min(highest, Math.max(lowest, level));
            }
            rest -= wanted;
        }
        return highest;
    }
}

function priorityOf(level: number): number {
    return Math.min(PRIORITIES - 1, Math.floor(level / BUCKETS));
}

/** Rate at which each target serves requests, per ms; equal weights unless all targets have told theirs. */
function weightsOf(targets: readonly CutoffSource[]): readonly number[] {
    const rates = targets.map(({ report }) =>
        report === undefined || report.serviceMs === 0 ? 0 : report.limit / report.serviceMs
    );
    return rates.includes(0) ? rates.map(() => 1) : rates;
}
