/**
 * Choice of a target. Targets of the own data centre come first while their expected time is near that of the best
 * one elsewhere, since bytes between data centres are dear; beyond that, the better of two random ones is taken,
 * so that many nodes with the same view do not all choose the same target.
 */
import type { LoadReport } from "../mesh/types.ts";

/** What one node knows of the load of one target. */
export interface Candidate {
    readonly isLocalHost: boolean;
    readonly isLocalDataCentre: boolean;
    /** Requests of this node that have no answer yet. */
    readonly pending: number;
    /** `pending` when the last report came. */
    readonly pendingAtReport: number;
    readonly slots: number;
    readonly report: LoadReport | undefined;
    readonly reportedAt: number;
    /** The target is not chosen before this time while there are others. */
    readonly avoidUntil: number;
}

/** Assumed until a target has told its own. */
const DEFAULT_SERVICE_MS = 40;
/** Fill from which requests may have to wait. */
const KNEE = 0.85;
const QUEUE_WEIGHT = 4;
/** How much slower the own data centre may be before requests go elsewhere. */
const NEAR_FACTOR = 1.7;
const NEAR_SLACK_MS = 12;
/** A report is believed less and less and counts nothing after this time. */
const REPORT_LIFE_MS = 2000;

/** Expected time in ms that a request takes at a target. */
export function expectedMs(candidate: Candidate, now: number): number {
    const { report } = candidate;
    const serviceMs = report === undefined || report.serviceMs === 0 ? DEFAULT_SERVICE_MS : report.serviceMs;
    const limit = Math.max(1, report?.limit ?? candidate.slots);
    const belief = report === undefined ? 0 : Math.max(0, 1 - (now - candidate.reportedAt) / REPORT_LIFE_MS);
    const reported = report === undefined ? 0 : report.running + report.queued - candidate.pendingAtReport;
    const inUse = candidate.pending + Math.max(0, reported) * belief;
    const over = Math.max(0, (inUse + 1) / limit - KNEE);
    return serviceMs * (1 + over * QUEUE_WEIGHT);
}

/** `rand` gives numbers in [0, 1). Returns an index, or -1 without candidates. */
export function chooseTarget(candidates: readonly Candidate[], now: number, rand: () => number): number {
    const usable = usableIndexes(candidates, now);
    if (usable.length <= 1) return usable[0] ?? -1;
    const times = usable.map(index => expectedMs(candidates[index]!, now));
    const best = Math.min(...times);
    const near = usable.filter((index, place) =>
        candidates[index]!.isLocalDataCentre && times[place]! <= best * NEAR_FACTOR + NEAR_SLACK_MS
    );
    return betterOfTwo(near.length > 0 ? near : usable, candidates, now, rand);
}

function usableIndexes(candidates: readonly Candidate[], now: number): readonly number[] {
    const all = candidates.map((_, index) => index);
    const sound = all.filter(index => candidates[index]!.avoidUntil <= now);
    return sound.length > 0 ? sound : all;
}

function betterOfTwo(
    indexes: readonly number[],
    candidates: readonly Candidate[],
    now: number,
    rand: () => number,
): number {
    const first = Math.floor(rand() * indexes.length);
    if (indexes.length === 1) return indexes[0]!;
    const second = (first + 1 + Math.floor(rand() * (indexes.length - 1))) % indexes.length;
    const [one, two] = [indexes[first]!, indexes[second]!];
    return cost(candidates[one]!, now) <= cost(candidates[two]!, now) ? one : two;
}

/** Within a data centre, the own host saves a hop. */
function cost(candidate: Candidate, now: number): number {
    return expectedMs(candidate, now) * (candidate.isLocalHost ? 0.9 : 1);
}
