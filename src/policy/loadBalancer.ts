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
const DEFAULT_SERVICE_TIME_MS = 40;
/** Fill from which requests may have to wait; there the own data centre is no longer preferred. */
const SATURATION_UTILIZATION = 0.85;
const QUEUEING_DELAY_FACTOR = 4;
/** How much slower the own data centre may be before requests go elsewhere. */
const LOCALITY_LATENCY_FACTOR = 1.7;
const LOCALITY_LATENCY_SLACK_MS = 12;
/**
 * A filled target elsewhere is taken only if it is expected to be faster by more than this factor than one in the own
 * data centre: two that are equally loaded would else exchange their requests.
 */
const SATURATED_REMOTE_COST_FACTOR = 1.25;
/** The own host saves a hop. */
const LOCAL_HOST_COST_FACTOR = 0.9;
/** A report is believed less and less and counts nothing after this time. */
const REPORT_MAX_AGE_MS = 2000;

/** Expected time in ms that a request takes at a target; `usualMs` stands for what the target has not told lately. */
export function expectedLatencyMs(
    candidate: Candidate,
    now: number,
    fallbackServiceMs = DEFAULT_SERVICE_TIME_MS,
): number {
    const { report } = candidate;
    const isFresh = report !== undefined && report.serviceMs > 0
        && now - candidate.reportedAt < REPORT_MAX_AGE_MS;
    const serviceMs = isFresh ? report.serviceMs : fallbackServiceMs;
    const excessUtilization = Math.max(0, utilizationOf(candidate, now) - SATURATION_UTILIZATION);
    return serviceMs * (1 + excessUtilization * QUEUEING_DELAY_FACTOR);
}

/** Share of the slots that this request would find in use, above 1 where requests wait. */
function utilizationOf(candidate: Candidate, now: number): number {
    return (inFlightOf(candidate, now) + 1) / Math.max(1, candidate.report?.limit ?? candidate.slots);
}

function inFlightOf(candidate: Candidate, now: number): number {
    const { report } = candidate;
    const reportWeight = report === undefined
        ? 0
        : Math.max(0, 1 - (now - candidate.reportedAt) / REPORT_MAX_AGE_MS);
    const inFlightFromOthers = report === undefined
        ? 0
        : report.running + report.queued - candidate.pendingAtReport;
    return candidate.pending + Math.max(0, inFlightFromOthers) * reportWeight;
}

/**
 * Chooses among targets; `rand` gives numbers in [0, 1). Returns an index, or -1 without candidates. It runs for each
 * request, so it works on indexes in arrays that are kept.
 */
export function chooseTarget(candidates: readonly Candidate[], now: number, rand: () => number): number {
    const usable = usableIndexes(candidates, now);
    if (usable.length <= 1) return usable[0] ?? -1;
    const fallbackServiceMs = meanServiceMs(candidates, usable, now);
    let lowestMs = Infinity;
    for (const index of usable) {
        const latencyMs = expectedLatencyMs(candidates[index]!, now, fallbackServiceMs);
        latenciesMs[index] = latencyMs;
        if (latencyMs < lowestMs) lowestMs = latencyMs;
    }
    preferredIndexes.length = 0;
    localIndexes.length = 0;
    for (const index of usable) {
        const candidate = candidates[index]!;
        if (!candidate.isLocalDataCentre) continue;
        localIndexes.push(index);
        if (utilizationOf(candidate, now) > SATURATION_UTILIZATION) continue;
        if (latenciesMs[index]! <= lowestMs * LOCALITY_LATENCY_FACTOR + LOCALITY_LATENCY_SLACK_MS) {
            preferredIndexes.push(index);
        }
    }
    if (preferredIndexes.length > 0) {
        return betterOfTwo(preferredIndexes, preferredIndexes, candidates, now, rand);
    }
    return betterOfTwo(localIndexes.length > 0 ? localIndexes : usable, usable, candidates, now, rand);
}

/** Scratch space of one choice. */
const allIndexes: number[] = [];
const healthyIndexes: number[] = [];
const localIndexes: number[] = [];
const preferredIndexes: number[] = [];
const latenciesMs: number[] = [];

function usableIndexes(candidates: readonly Candidate[], now: number): readonly number[] {
    allIndexes.length = 0;
    healthyIndexes.length = 0;
    for (let index = 0; index < candidates.length; index++) {
        allIndexes.push(index);
        if (candidates[index]!.avoidUntil <= now) healthyIndexes.push(index);
    }
    return healthyIndexes.length > 0 ? healthyIndexes : allIndexes;
}

/** Mean service time of the targets that have told theirs lately. */
function meanServiceMs(candidates: readonly Candidate[], indexes: readonly number[], now: number): number {
    let sum = 0;
    let count = 0;
    for (const index of indexes) {
        const { report, reportedAt } = candidates[index]!;
        if (report === undefined || report.serviceMs === 0 || now - reportedAt >= REPORT_MAX_AGE_MS) continue;
        sum += report.serviceMs;
        count++;
    }
    return count === 0 ? DEFAULT_SERVICE_TIME_MS : sum / count;
}

/** Draws one candidate from each list and returns the better one. */
function betterOfTwo(
    firstIndexes: readonly number[],
    secondIndexes: readonly number[],
    candidates: readonly Candidate[],
    now: number,
    rand: () => number,
): number {
    const first = firstIndexes[Math.floor(rand() * firstIndexes.length)]!;
    let secondPosition = Math.floor(rand() * secondIndexes.length);
    if (secondIndexes[secondPosition] === first) secondPosition = (secondPosition + 1) % secondIndexes.length;
    const second = secondIndexes[secondPosition]!;
    return costOf(first, candidates, now) <= costOf(second, candidates, now) ? first : second;
}

function costOf(index: number, candidates: readonly Candidate[], now: number): number {
    const candidate = candidates[index]!;
    const latencyMs = latenciesMs[index]!;
    if (candidate.isLocalHost) return latencyMs * LOCAL_HOST_COST_FACTOR;
    return candidate.isLocalDataCentre || utilizationOf(candidate, now) <= SATURATION_UTILIZATION
        ? latencyMs
        : latencyMs * SATURATED_REMOTE_COST_FACTOR;
}
