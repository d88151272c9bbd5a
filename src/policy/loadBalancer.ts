/**
 * Load balancing over the targets of a service, by the power of two random choices: the better of two random targets
 * is chosen, so that nodes with the same view of the load do not all choose the same target.
 *
 * Traffic between data centres is expensive. While targets in the local data centre are not saturated and have an
 * expected latency close to the lowest one, both random targets are therefore drawn from these. Otherwise one is drawn
 * from the local data centre and one from all targets, so that other data centres take part of the load before the
 * local targets are full.
 */
import type { LoadReport } from "../mesh/types.ts";

/** A node's view of a target and its load. */
export interface Candidate {
    /** Whether this is the local target, i.e. the one of the node that chooses. */
    readonly isSelf: boolean;
    /** Whether the target is in the data centre of the node that chooses. */
    readonly isInLocalDataCentre: boolean;
    /** Number of requests that this node has in flight to the target. */
    readonly inFlight: number;
    /** Value of `inFlight` when the latest report arrived. */
    readonly inFlightAtReport: number;
    readonly slots: number;
    readonly report: LoadReport | undefined;
    readonly reportedAt: number;
    /** Until this time, the target is chosen only if all others have to be avoided too. */
    readonly avoidUntil: number;
}

/**
 * What to assume of a target whose latest report is old. `ignore`: the mean service time of the others. The other two
 * concern a target that was slower than the mean: it gets few requests, so its report is old although nothing has
 * changed. `explore`: each node sends it one request at a time to find out, as for idempotent requests. `remember`: the
 * reported service time approaches the mean slowly, as for requests that must not be used for exploration.
 */
export type StaleReportPolicy = "ignore" | "explore" | "remember";

/** Service time to assume while no target of the service has reported its own recently. */
const DEFAULT_SERVICE_TIME_MS = 40;
/**
 * Utilization above which a target is saturated, i.e. requests may have to queue. A saturated target is not preferred
 * even if it is in the local data centre.
 */
const SATURATION_UTILIZATION = 0.85;
/** Relative increase of the expected latency per unit of utilization above saturation. */
const QUEUEING_DELAY_FACTOR = 4;
/** A target in the local data centre is preferred up to this multiple of the lowest expected latency plus the slack. */
const LOCALITY_LATENCY_FACTOR = 1.7;
const LOCALITY_LATENCY_SLACK_MS = 12;
/**
 * A saturated target in another data centre is chosen over one in the local data centre only if it is expected to be
 * faster by more than this factor. Without it, two equally loaded data centres would send their requests to each other.
 */
const SATURATED_REMOTE_COST_FACTOR = 1.25;
/** Factor on the expected latency of the node's own target, since a request to it saves a network hop. */
const LOCAL_TARGET_COST_FACTOR = 0.9;
/**
 * Age from which a report's service time and request counts are ignored. Until then, the weight of the request counts
 * falls linearly to 0.
 */
const REPORT_MAX_AGE_MS = 2000;

/**
 * Maximum time between two explorations of a slow target by a node. The interval is proportional to how much slower the
 * target was, since an exploration costs its caller that much; with an interval of 2 s for all, 65 nodes that send few
 * requests each spent a tenth of them on exploration.
 */
const MAX_EXPLORATION_INTERVAL_MS = 4000;
/**
 * Time in which a remembered difference from the mean service time halves. A target that was twice as slow because it
 * was cold is as good as others for `remember` after a few seconds, one that was five times as slow after about 12 s.
 */
const REMEMBERED_HALF_LIFE_MS = 5000;

/**
 * Expected latency in ms of a request at a target; `fallbackServiceMs` is used if the target has not reported its
 * service time recently.
 */
export function expectedLatencyMs(
    candidate: Candidate,
    now: number,
    fallbackServiceMs = DEFAULT_SERVICE_TIME_MS,
    staleReports: StaleReportPolicy = "ignore",
): number {
    const serviceMs = expectedServiceMs(candidate, now, fallbackServiceMs, staleReports);
    const excessUtilization = Math.max(0, utilizationOf(candidate, now) - SATURATION_UTILIZATION);
    return serviceMs * (1 + excessUtilization * QUEUEING_DELAY_FACTOR);
}

function expectedServiceMs(
    { report, reportedAt, inFlight }: Candidate,
    now: number,
    fallbackServiceMs: number,
    staleReports: StaleReportPolicy,
): number {
    if (report === undefined || report.serviceMs <= 0) return fallbackServiceMs;
    const ageMs = now - reportedAt;
    if (ageMs < REPORT_MAX_AGE_MS) return report.serviceMs;
    switch (staleReports) {
        case "ignore":
            return fallbackServiceMs;
        case "explore": {
            if (report.serviceMs <= fallbackServiceMs) return report.serviceMs;
            const intervalMs = REPORT_MAX_AGE_MS * report.serviceMs / fallbackServiceMs;
            const isDue = inFlight === 0 && ageMs >= Math.min(MAX_EXPLORATION_INTERVAL_MS, intervalMs);
            return isDue ? fallbackServiceMs : report.serviceMs;
        }
        case "remember": {
            const differenceMs = Math.max(0, report.serviceMs - fallbackServiceMs);
            const weight = 2 ** (-(ageMs - REPORT_MAX_AGE_MS) / REMEMBERED_HALF_LIFE_MS);
            return Math.min(report.serviceMs, fallbackServiceMs) + differenceMs * weight;
        }
    }
}

/** Share of the slots that would be in use with one more request; above 1, the request has to queue. */
function utilizationOf(candidate: Candidate, now: number): number {
    return (estimatedInFlightOf(candidate, now) + 1)
        / Math.max(1, candidate.report?.limit ?? candidate.slots);
}

/** Requests in flight at a target: those of this node, plus those of other nodes according to the latest report. */
function estimatedInFlightOf(candidate: Candidate, now: number): number {
    const { report } = candidate;
    const reportWeight = report === undefined
        ? 0
        : Math.max(0, 1 - (now - candidate.reportedAt) / REPORT_MAX_AGE_MS);
    const inFlightFromOthers = report === undefined
        ? 0
        : report.running + report.queued - candidate.inFlightAtReport;
    return candidate.inFlight + Math.max(0, inFlightFromOthers) * reportWeight;
}

/**
 * Returns the index of the chosen candidate, or -1 if there are no candidates. `rand` returns numbers in [0, 1). This
 * function is called for every attempt, so it reuses arrays of indexes instead of allocating new ones.
 */
export function chooseTarget(
    candidates: readonly Candidate[],
    now: number,
    rand: () => number,
    staleReports: StaleReportPolicy = "ignore",
): number {
    const eligible = eligibleIndexes(candidates, now);
    if (eligible.length <= 1) return eligible[0] ?? -1;
    const fallbackServiceMs = meanServiceMs(candidates, eligible, now);
    let lowestMs = Infinity;
    for (const index of eligible) {
        const latencyMs = expectedLatencyMs(candidates[index]!, now, fallbackServiceMs, staleReports);
        latenciesMs[index] = latencyMs;
        if (latencyMs < lowestMs) lowestMs = latencyMs;
    }
    preferredIndexes.length = 0;
    localDataCentreIndexes.length = 0;
    for (const index of eligible) {
        const candidate = candidates[index]!;
        if (!candidate.isInLocalDataCentre) continue;
        localDataCentreIndexes.push(index);
        if (utilizationOf(candidate, now) > SATURATION_UTILIZATION) continue;
        if (latenciesMs[index]! <= lowestMs * LOCALITY_LATENCY_FACTOR + LOCALITY_LATENCY_SLACK_MS) {
            preferredIndexes.push(index);
        }
    }
    if (preferredIndexes.length > 0) {
        return betterOfTwo(preferredIndexes, preferredIndexes, candidates, now, rand);
    }
    return betterOfTwo(
        localDataCentreIndexes.length > 0 ? localDataCentreIndexes : eligible,
        eligible,
        candidates,
        now,
        rand,
    );
}

// Scratch space of `chooseTarget`, valid only during one call.
const allIndexes: number[] = [];
const notAvoidedIndexes: number[] = [];
const localDataCentreIndexes: number[] = [];
const preferredIndexes: number[] = [];
const latenciesMs: number[] = [];

/** Indexes of the candidates that need not be avoided, or of all candidates if there are none. */
function eligibleIndexes(candidates: readonly Candidate[], now: number): readonly number[] {
    allIndexes.length = 0;
    notAvoidedIndexes.length = 0;
    for (let index = 0; index < candidates.length; index++) {
        allIndexes.push(index);
        if (candidates[index]!.avoidUntil <= now) notAvoidedIndexes.push(index);
    }
    return notAvoidedIndexes.length > 0 ? notAvoidedIndexes : allIndexes;
}

/** Mean service time of the targets that reported it recently. */
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

/** Draws one candidate from each list and returns the one with the lower cost. */
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
    if (candidate.isSelf) return latencyMs * LOCAL_TARGET_COST_FACTOR;
    return candidate.isInLocalDataCentre || utilizationOf(candidate, now) <= SATURATION_UTILIZATION
        ? latencyMs
        : latencyMs * SATURATED_REMOTE_COST_FACTOR;
}
