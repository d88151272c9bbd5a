/**
 * Choice of a target. Targets of the own data centre come first while they have free slots and their expected time is
 * near that of the best one elsewhere, since bytes between data centres are dear; requests go elsewhere before any are
 * refused. The better of two random ones is taken, so that many nodes with the same view do not all choose the same.
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
/** Fill from which requests may have to wait; there the own data centre is no longer preferred. */
const KNEE = 0.85;
const QUEUE_WEIGHT = 4;
/** How much slower the own data centre may be before requests go elsewhere. */
const NEAR_FACTOR = 1.7;
const NEAR_SLACK_MS = 12;
/**
 * A filled target elsewhere is taken only if it is expected to be faster by more than this factor than one in the own
 * data centre: two that are equally loaded would else exchange their requests.
 */
const FAR_FACTOR = 1.25;
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
    const over = Math.max(0, fillOf(candidate, now) - KNEE);
    return serviceMs * (1 + over * QUEUE_WEIGHT);
}

/** Share of the slots that this request would find in use, above 1 where requests wait. */
function fillOf(candidate: Candidate, now: number): number {
    return (inUseOf(candidate, now) + 1) / Math.max(1, candidate.report?.limit ?? candidate.slots);
}

function inUseOf(candidate: Candidate, now: number): number {
    const { report } = candidate;
    const belief = report === undefined ? 0 : Math.max(0, 1 - (now - candidate.reportedAt) / REPORT_LIFE_MS);
    const reported = report === undefined ? 0 : report.running + report.queued - candidate.pendingAtReport;
    return candidate.pending + Math.max(0, reported) * belief;
}

/**
 * Chooses among targets; `rand` gives numbers in [0, 1). Returns an index, or -1 without candidates. It runs for each
 * request, so it works on indexes in arrays that are kept.
 */
export function chooseTarget(candidates: readonly Candidate[], now: number, rand: () => number): number {
    const usable = usableIndexes(candidates, now);
    if (usable.length <= 1) return usable[0] ?? -1;
    const usualMs = usualServiceMs(candidates, usable, now);
    let best = Infinity;
    for (const index of usable) {
        const ms = expectedMs(candidates[index]!, now, usualMs);
        times[index] = ms;
        if (ms < best) best = ms;
    }
    near.length = 0;
    own.length = 0;
    for (const index of usable) {
        const candidate = candidates[index]!;
        if (!candidate.isLocalDataCentre) continue;
        own.push(index);
        if (fillOf(candidate, now) > KNEE) continue;
        if (times[index]! <= best * NEAR_FACTOR + NEAR_SLACK_MS) near.push(index);
    }
    if (near.length > 0) return betterOfTwo(near, near, candidates, now, rand);
    return betterOfTwo(own.length > 0 ? own : usable, usable, candidates, now, rand);
}

/** Scratch space of one choice. */
const all: number[] = [];
const sound: number[] = [];
const own: number[] = [];
const near: number[] = [];
const times: number[] = [];

function usableIndexes(candidates: readonly Candidate[], now: number): readonly number[] {
    all.length = 0;
    sound.length = 0;
    for (let index = 0; index < candidates.length; index++) {
        all.push(index);
        if (candidates[index]!.avoidUntil <= now) sound.push(index);
    }
    return sound.length > 0 ? sound : all;
}

/** Mean service time of the targets that have told theirs lately. */
function usualServiceMs(candidates: readonly Candidate[], indexes: readonly number[], now: number): number {
    let sum = 0;
    let count = 0;
    for (const index of indexes) {
        const { report, reportedAt } = candidates[index]!;
        if (report === undefined || report.serviceMs === 0 || now - reportedAt >= REPORT_LIFE_MS) continue;
        sum += report.serviceMs;
        count++;
    }
    return count === 0 ? DEFAULT_SERVICE_MS : sum / count;
}

/** Draws one candidate from each list and returns the better one. */
function betterOfTwo(
    firsts: readonly number[],
    seconds: readonly number[],
    candidates: readonly Candidate[],
    now: number,
    rand: () => number,
): number {
    const one = firsts[Math.floor(rand() * firsts.length)]!;
    let at = Math.floor(rand() * seconds.length);
    if (seconds[at] === one) at = (at + 1) % seconds.length;
    const two = seconds[at]!;
    return costOf(one, candidates, now) <= costOf(two, candidates, now) ? one : two;
}

function costOf(index: number, candidates: readonly Candidate[], now: number): number {
    const candidate = candidates[index]!;
    const ms = times[index]!;
    if (candidate.isLocalHost) return ms * LOCAL_HOST_FACTOR;
    return candidate.isLocalDataCentre || fillOf(candidate, now) <= KNEE ? ms : ms * FAR_FACTOR;
}
