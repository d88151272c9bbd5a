/** Load balancing: chooses the member for an attempt from what this node has observed of each member. */
import type { Map } from "immutable";
import { MAX_LEVEL } from "./cutoff.ts";
import { ownerOf } from "./keys.ts";
import { isRoutable, membersOf } from "./membership.ts";
import { jitteredRetryAfterMs } from "./retries.ts";
import type { NodeState } from "./state.ts";
import type { LoadReport, Member, NotRun, Outcome } from "./types.ts";
import { notRun } from "./types.ts";
import { emptyMap } from "./util.ts";

/** What this node has observed of one member and its target. */
export interface TargetStats {
    /** Attempts that this node has sent to the member and that have no response yet. */
    readonly inFlight: number;
    /** The latest load report of the member. The choice of members uses only the cutoffs below. */
    readonly load?: LoadReport | undefined;
    /** The last reported cutoffs by kind of request. A report also covers the dependencies of the attempt's kind. */
    readonly reportedCutoffs: Readonly<Record<string, ReportedCutoff>>;
    /** Smoothed latency of successful attempts; 0 if there was none. */
    readonly latencyMs: number;
    /** Smoothed share of attempts that failed because of the target itself. */
    readonly errorShare: number;
    /** Attempts counted in `errorShare` since the last ejection. */
    readonly resultCount: number;
    readonly ejectedUntil: number;
    /** Consecutive ejections. Each one lasts twice as long as the one before, up to `MAX_EJECTION_MS`. */
    readonly ejections: number;
    /** Whether the member refused a request because it is draining. A draining node never accepts work again. */
    readonly draining?: boolean | undefined;
}

interface ReportedCutoff {
    readonly cutoff: number;
    readonly at: number;
}

const NO_STATS: TargetStats = {
    inFlight: 0,
    reportedCutoffs: {},
    latencyMs: 0,
    errorShare: 0,
    resultCount: 0,
    ejectedUntil: 0,
    ejections: 0,
};

export interface RoutingState {
    /** By member id. */
    readonly stats: Map<string, TargetStats>;
    /** Services that runs at this node have called, by the kind of the call. It is usually that of the run. */
    readonly dependencies: Map<string, readonly string[]>;
}

export function createRoutingState(): RoutingState {
    return { stats: emptyMap(), dependencies: emptyMap() };
}

/**
 * Age of a reported cutoff after which this node assumes that it rises. A member that gets no requests cannot report
 * a rise.
 */
const CUTOFF_FRESH_MS = 500;
const STALE_CUTOFF_RISE_PER_MS = 1;
const LATENCY_SMOOTHING_FACTOR = 0.1;
const ERROR_SMOOTHING_FACTOR = 0.2;
const EJECTION_ERROR_SHARE = 0.5;
const MIN_EJECTION_RESULTS = 5;
const BASE_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 4_000;
/** Ejecting a larger share of the members would overload the others. */
const MAX_EJECTED_SHARE = 1 / 3;
/** A member in another data centre must be cheaper by this factor, which accounts for the network latency. */
const REMOTE_COST_FACTOR = 1.25;

export interface MemberQuery {
    readonly service: string;
    readonly kind: string;
    readonly level: number;
    /** Ids of the members to which the call has already sent an attempt. */
    readonly tried: readonly string[];
    /** Idempotency key of a non-idempotent request, which only the owner of the key may run. */
    readonly key?: string | undefined;
    readonly now: number;
    /** Uniform in [0, 1). */
    readonly rand: number;
}

export type MemberChoice = { readonly type: "member"; readonly member: Member; } | NotRun;

/**
 * Chooses the cheaper of two random members. The first one is from the local data centre if a member there can take
 * the request. The owner of a key is the only choice for a request with that key. Returns a refusal if no member can
 * take the request.
 */
export function chooseMember(state: NodeState, query: MemberQuery): MemberChoice {
    if (query.key !== undefined) {
        const choice = chooseOwner(state, query.service, query.key);
        if (choice.type === "not-run" || estimatedCutoff(state, choice.member, query) >= query.level) {
            return choice;
        }
        return notRun("level-at-caller", computeRetryAfterMs(state, query));
    }
    const routable = membersOf(state, query.service).filter(member =>
        isRoutable(state, member) && !query.tried.includes(member.id)
        && state.routing.stats.get(member.id)?.draining !== true
    );
    if (routable.length === 0) return notRun("no-target");
    const accepting = routable.filter(member => estimatedCutoff(state, member, query) >= query.level);
    if (accepting.length === 0) return notRun("level-at-caller", computeRetryAfterMs(state, query));
    const candidates = withoutEjected(state, accepting, query.now);
    const local = candidates.filter(member => member.dataCentre === state.self.dataCentre);
    const firstCandidates = local.length > 0 ? local : candidates;
    const scaledRand = query.rand * firstCandidates.length;
    const first = firstCandidates[Math.floor(scaledRand)]!;
    const others = candidates.filter(member => member !== first);
    const second = others[Math.floor((scaledRand % 1) * others.length)];
    if (second === undefined) return { type: "member", member: first };
    return { type: "member", member: costOf(state, second) < costOf(state, first) ? second : first };
}

function withoutEjected(state: NodeState, members: readonly Member[], now: number): readonly Member[] {
    const maxEjected = Math.floor(members.length * MAX_EJECTED_SHARE);
    const ejected = members.filter(member => statsOf(state.routing, member.id).ejectedUntil > now).slice(
        0,
        maxEjected,
    );
    return ejected.length === 0 ? members : members.filter(member => !ejected.includes(member));
}

/**
 * Estimated time to process the requests in flight and one more, times a factor for other data centres. An unknown
 * latency counts as 1 ms, the lowest value.
 */
function costOf(state: NodeState, member: Member): number {
    const { inFlight, latencyMs } = statsOf(state.routing, member.id);
    const costFactor = member.dataCentre === state.self.dataCentre ? 1 : REMOTE_COST_FACTOR;
    return (inFlight + 1) * Math.max(1, latencyMs) * costFactor;
}

function statsOf(state: RoutingState, memberId: string): TargetStats {
    return state.stats.get(memberId) ?? NO_STATS;
}

function estimatedCutoff(
    state: NodeState,
    member: Member,
    query: { readonly kind: string; readonly now: number; },
): number {
    const reported = statsOf(state.routing, member.id).reportedCutoffs[query.kind];
    if (reported === undefined) return MAX_LEVEL;
    const staleMs = Math.max(0, query.now - reported.at - CUTOFF_FRESH_MS);
    return Math.min(MAX_LEVEL, reported.cutoff + staleMs * STALE_CUTOFF_RISE_PER_MS);
}

/** Highest estimated cutoff of the routable members of a service for a kind; `MAX_LEVEL` if there is none. */
export function highestEstimatedCutoff(state: NodeState, service: string, kind: string, now: number): number {
    const cutoffs = membersOf(state, service).filter(member => isRoutable(state, member))
        .map(member => estimatedCutoff(state, member, { kind, now }));
    return cutoffs.length === 0 ? MAX_LEVEL : Math.max(...cutoffs);
}

/** Retry-after time of a request that is above the cutoffs of the members. It grows as the highest cutoff falls. */
function computeRetryAfterMs(state: NodeState, query: MemberQuery): number {
    return jitteredRetryAfterMs(
        highestEstimatedCutoff(state, query.service, query.kind, query.now),
        query.rand,
    );
}

/**
 * Chooses the owner of a key, even while it is draining: until the log contains its leave, no other member may run
 * requests with its keys.
 */
function chooseOwner(state: NodeState, service: string, key: string): MemberChoice {
    const view = state.control.views.get(service);
    const owner = view === undefined ? undefined : ownerOf(view, key);
    if (owner === undefined) return notRun("no-target");
    const status = state.members.entries.get(owner.id)?.status;
    const isReachable = isRoutable(state, owner) || status === "draining"
        || (owner.id === state.self.id && state.draining);
    return isReachable ? { type: "member", member: owner } : notRun("owner-unreachable");
}

export function onAttemptSent(state: RoutingState, member: Member): RoutingState {
    const stats = statsOf(state, member.id);
    return { ...state, stats: state.stats.set(member.id, { ...stats, inFlight: stats.inFlight + 1 }) };
}

/** Records that a run at this node has called a service with a request of a kind. */
export function recordDependency(state: RoutingState, kind: string, service: string): RoutingState {
    const known = state.dependencies.get(kind) ?? [];
    if (known.includes(service)) return state;
    return { ...state, dependencies: state.dependencies.set(kind, [...known, service]) };
}

export interface AttemptResult {
    readonly now: number;
    readonly kind: string;
    readonly latencyMs: number;
    readonly outcome: Outcome;
    readonly load?: LoadReport | undefined;
}

export function onAttemptEnded(state: RoutingState, memberId: string, result: AttemptResult): RoutingState {
    const stats = statsOf(state, memberId);
    const { load, now } = result;
    const reportedCutoffs = load === undefined
        ? stats.reportedCutoffs
        : { ...stats.reportedCutoffs, [result.kind]: { cutoff: load.level, at: now } };
    const updated = recordResult({ ...stats, reportedCutoffs, load: load ?? stats.load }, result);
    const next = {
        ...updated,
        inFlight: Math.max(0, stats.inFlight - 1),
        draining: stats.draining === true || isDrainingRefusal(result.outcome),
    };
    return { ...state, stats: state.stats.set(memberId, next) };
}

function recordResult(stats: TargetStats, result: AttemptResult): TargetStats {
    const failed = isTargetFailure(result.outcome);
    if (!failed && result.outcome.type !== "ran") return stats;
    const errorShare = stats.errorShare + ERROR_SMOOTHING_FACTOR * (Number(failed) - stats.errorShare);
    const resultCount = stats.resultCount + 1;
    if (failed && errorShare > EJECTION_ERROR_SHARE && resultCount >= MIN_EJECTION_RESULTS) {
        const ejectMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** stats.ejections);
        return {
            ...stats,
            errorShare: EJECTION_ERROR_SHARE / 2,
            resultCount: 0,
            ejectedUntil: result.now + ejectMs,
            ejections: stats.ejections + 1,
        };
    }
    // The latency of an error response does not show how fast the target works.
    if (failed || (result.outcome.type === "ran" && result.outcome.status >= 500)) {
        return { ...stats, errorShare, resultCount };
    }
    const latencyMs = stats.latencyMs === 0
        ? result.latencyMs
        : stats.latencyMs + LATENCY_SMOOTHING_FACTOR * (result.latencyMs - stats.latencyMs);
    const ejections = errorShare < 0.05 ? 0 : stats.ejections;
    return { ...stats, errorShare, resultCount, latencyMs, ejections };
}

function isDrainingRefusal(outcome: Outcome): boolean {
    return outcome.type === "not-run" && outcome.reason === "draining";
}

/**
 * Whether an attempt failed because of the target itself. Of the error responses, only those with status 500 count: a
 * target responds with 503 when one of its dependencies refused a call.
 */
function isTargetFailure(outcome: Outcome): boolean {
    if (outcome.type === "ran") return outcome.status === 500;
    return outcome.type === "not-run"
        ? outcome.reason === "connect-failed"
        : outcome.reason === "connection-lost";
}
