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

/** Assumed while no target of the service has told its own. */
const DEFAULT_SERVICE_MS = 40;
/** Fill from which requests may have to wait. */
const KNEE = 0.85;
const QUEUE_WEIGHT = 4;
/** How much slower the own data centre may be before requests go elsewhere. */
const NEAR_FACTOR = 1.7;
const NEAR_SLACK_MS = 12;
/** The own host saves a hop. */
const LOCAL_HOST_FACTOR = 0.9;
/** A report is believed less and less and counts nothing after this time. */
const REPORT_LIFE_MS = 2000;

/** Expected time in ms that a request takes at a target; `usualMs` stands for what the target has not told lately. */
export function expectedMs(candidate: Candidate, now: number, usualMs = DEFAULT_SERVICE_MS): number {
    const { report } = candidate;
    const isFresh = report !== undefined && report.serviceMs > 0
        && now - candidate.reportedAt < REPORT_LIFE_MS;
    const serviceMs = isFresh ? report.serviceMs : usualMs;
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
    const usualMs = usualServiceMs(usable.map(index => candidates[index]!), now);
    const times = usable.map(index => expectedMs(candidates[index]!, now, usualMs));
    const best = Math.min(...times);
    const near = usable.filter((index, place) =>
        candidates[index]!.isLocalDataCentre && times[place]! <= best * NEAR_FACTOR + NEAR_SLACK_MS
    );
    const costOf = (index: number) =>
        times[usable.indexOf(index)]! * (candidates[index]!.isLocalHost ? LOCAL_HOST_FACTOR : 1);
    return betterOfTwo(near.length > 0 ? near : usable, costOf, rand);
}

/** Mean service time of the targets that have told theirs lately. */
function usualServiceMs(candidates: readonly Candidate[], now: number): number {
    const told = candidates.filter(({ report, reportedAt }) =>
        report !== undefined && report.serviceMs > 0 && now - reportedAt < REPORT_LIFE_MS
    );
    if (told.length === 0) return DEFAULT_SERVICE_MS;
    return told.reduce((sum, { report }) => sum + report!.serviceMs, 0) / told.length;
}

function usableIndexes(candidates: readonly Candidate[], now: number): readonly number[] {
    const all = candidates.map((_, index) => index);
    const sound = all.filter(index => candidates[index]!.avoidUntil <= now);
    return sound.length > 0 ? sound : all;
}

function betterOfTwo(
    indexes: readonly number[],
    costOf: (index: number) => number,
    rand: () => number,
): number {
    const first = Math.floor(rand() * indexes.length);
    if (indexes.length === 1) return indexes[0]!;
    const second = (first + 1 + Math.floor(rand() * (indexes.length - 1))) % indexes.length;
    const [one, two] = [indexes[first]!, indexes[second]!];
    return costOf(one) <= costOf(two) ? one : two;
}
