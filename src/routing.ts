/** Choice of a target for an attempt, by what this node has seen of each member. */
import type { Map } from "immutable";
import { isRoutable, membersOf } from "./membership.ts";
import { ownerOf } from "./ownership.ts";
import type { NodeState } from "./state.ts";
import type { LoadReport, Member, NotRun, Outcome } from "./types.ts";
import { notRun } from "./types.ts";
import { emptyMap } from "./util.ts";

/** What this node has seen of one member. */
export interface TargetStats {
    readonly inFlight: number;
    readonly load?: LoadReport | undefined;
    /** The member has said that it is draining; an incarnation never takes work again after that. */
    readonly draining?: boolean | undefined;
}

export interface RoutingState {
    readonly stats: Map<string, TargetStats>;
}

export function createRoutingState(): RoutingState {
    return { stats: emptyMap() };
}

export interface ChoiceQuery {
    readonly service: string;
    readonly level: number;
    /** Members already tried by this call. */
    readonly tried: readonly string[];
    /** Key of a non-idempotent request: only its owner may run it. */
    readonly key?: string | undefined;
    readonly now: number;
    readonly rand: number;
}

export type Choice = { readonly type: "member"; readonly member: Member; } | NotRun;

/** Chooses the less loaded of two random members. */
export function chooseMember(state: NodeState, query: ChoiceQuery): Choice {
    if (query.key !== undefined) return chooseOwner(state, query.service, query.key);
    const members = membersOf(state, query.service).filter(member =>
        isRoutable(state, member) && !query.tried.includes(member.id)
        && state.routing.stats.get(member.id)?.draining !== true
    );
    if (members.length === 0) return notRun("no-target");
    const first = Math.floor(query.rand * members.length);
    const second = (first + 1 + Math.floor(query.rand * 997) % Math.max(1, members.length - 1))
        % members.length;
    const a = members[first]!;
    const b = members[second]!;
    return { type: "member", member: inFlightOf(state, a) <= inFlightOf(state, b) ? a : b };
}

function chooseOwner(state: NodeState, service: string, key: string): Choice {
    const view = state.control.views.get(service);
    const owner = view === undefined ? undefined : ownerOf(view, key);
    if (owner === undefined) return notRun("no-target");
    return isRoutable(state, owner) ? { type: "member", member: owner } : notRun("owner-unreachable");
}

function inFlightOf(state: NodeState, member: Member): number {
    return state.routing.stats.get(member.id)?.inFlight ?? 0;
}

export function onAttemptSent(state: RoutingState, member: Member): RoutingState {
    const stats = state.stats.get(member.id) ?? { inFlight: 0 };
    return { ...state, stats: state.stats.set(member.id, { ...stats, inFlight: stats.inFlight + 1 }) };
}

export interface AttemptResult {
    readonly now: number;
    readonly latencyMs: number;
    readonly outcome: Outcome;
    readonly load?: LoadReport | undefined;
}

export function onAttemptEnded(state: RoutingState, memberId: string, result: AttemptResult): RoutingState {
    const stats = state.stats.get(memberId) ?? { inFlight: 0 };
    const { outcome } = result;
    const next = {
        ...stats,
        inFlight: Math.max(0, stats.inFlight - 1),
        load: result.load ?? stats.load,
        draining: stats.draining === true || (outcome.type === "not-run" && outcome.reason === "draining"),
    };
    return { ...state, stats: state.stats.set(memberId, next) };
}
