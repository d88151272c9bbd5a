/**
 * Who may run a key of a non-idempotent kind: the state, and the decision at the moment of forwarding. Views
 * change in `views.ts`, proofs are collected in `proofs.ts`, keys change owners in `handover.ts`.
 */
import type { List, Map } from "immutable";
import { List as createList } from "immutable";
import { decideForSuspect } from "./crashes.ts";
import type { EventStamp } from "./events.ts";
import type { MissingHandover, OutgoingHandover } from "./handover.ts";
import { keyTransferOf } from "./handover.ts";
import { ownerOf } from "./keys.ts";
import { leaseOf } from "./leases.ts";
import type { PromiseRound } from "./leases.ts";
import { beginKey, isKeyLimitReached } from "./records.ts";
import type { Run } from "./runs.ts";
import type { NodeState } from "./state.ts";
import type { NotRun, RecordedResponse, Unknown, View } from "./types.ts";
import { notRun, unknown } from "./types.ts";
import { emptyMap } from "./util.ts";
import type { Proposal } from "./viewChanges.ts";

export interface OwnershipState {
    /** When the question was sent whose answer last showed the view; undefined for never. */
    readonly leaseStartedAt?: number | undefined;
    /** The promises and relayed reads that this node is collecting. */
    readonly promiseRound?: PromiseRound | undefined;
    /** The view change that this node is collecting backers for. */
    readonly proposal?: Proposal | undefined;
    /** No new proposal is made before this time. */
    readonly nextProposalAt: number;
    /** Since when this node has been leaving. */
    readonly leavingSince?: number | undefined;
    /** The newest view version of each service from which this voter has backed a change. */
    readonly backedVersions: Map<string, number>;
    /** The view of this node's service that `gaps` is up to date with. */
    readonly appliedView?: View | undefined;
    /** When the next tick of the ownership's own work is due. */
    readonly nextTickAt?: number | undefined;
    /** When this node read of that view. */
    readonly viewAppliedAt?: number | undefined;
    /** Past changes that moved keys to this node without a handover so far. */
    readonly missingHandovers: List<MissingHandover>;
    /** Handovers that this node still has to send, by member. */
    readonly outgoingHandovers: Map<string, OutgoingHandover>;
    /** Runs that wait for a key; the time is that of the next look, if any. */
    readonly parked: Map<number, number>;
    /** Calls that wait for this node's view to catch up, with the time of the next attempt. */
    readonly waitingCalls: Map<number, number>;
}

export function createOwnershipState(): OwnershipState {
    return {
        nextProposalAt: 0,
        backedVersions: emptyMap(),
        missingHandovers: createList(),
        outgoingHandovers: emptyMap(),
        parked: emptyMap(),
        waitingCalls: emptyMap(),
    };
}

export function withOwnership(state: NodeState, changes: Partial<OwnershipState>): NodeState {
    return { ...state, ownership: { ...state.ownership, ...changes } };
}

/** What to do with a run that could be sent to the target now. */
export type RunDecision =
    | { readonly type: "start"; readonly state: NodeState; readonly startBefore?: number | undefined; }
    /** Look again at `until`, or when what it waits for has happened. */
    | { readonly type: "park"; readonly until: number; }
    | { readonly type: "replay"; readonly response: RecordedResponse; }
    | { readonly type: "end"; readonly outcome: NotRun | Unknown; };

/** Decides on a run in the step that would forward it. */
export function decideRun(state: NodeState, run: Run, stamp: EventStamp): RunDecision {
    const key = keyOf(run);
    if (key === undefined) return decideForSuspect(state, run, stamp) ?? { type: "start", state };
    const known = decideFromRecord(state, run, stamp);
    if (known !== undefined) return known;
    const view = state.control.views.get(state.self.service);
    if (view === undefined || ownerOf(view, key)?.id !== state.self.id) {
        return { type: "end", outcome: notRun("not-owner") };
    }
    const lease = leaseOf(state, stamp.now);
    if (lease === undefined) return { type: "end", outcome: notRun("no-proof", 1_000) };
    const transfer = keyTransferOf(state, key, stamp.now);
    if (transfer.type === "inherited") return { type: "end", outcome: unknown("inherited-key") };
    if (transfer.type === "moving") return { type: "park", until: transfer.until };
    const suspect = decideForSuspect(state, run, stamp);
    if (suspect !== undefined) return suspect;
    if (isKeyLimitReached(state, stamp.now)) return { type: "end", outcome: notRun("records-full", 1_000) };
    return { type: "start", state: beginKey(state, key, run, stamp.now), startBefore: lease.startBefore };
}

/** The key of a run that must not run twice. */
export function keyOf(run: Pick<Run, "ctx" | "kind">): string | undefined {
    return run.kind.nonIdempotent ? run.ctx.key : undefined;
}

/**
 * What this node's records say of a run's key; undefined when they say nothing. Asked before any refusal, since
 * a key that has been started must never be told "not run" by the node that knows of it.
 */
export function decideFromRecord(
    state: NodeState,
    run: Pick<Run, "ctx" | "kind" | "fingerprint">,
    stamp: EventStamp,
): RunDecision | undefined {
    const key = keyOf(run);
    const record = key === undefined ? undefined : state.records.keys.get(key);
    if (record === undefined) return undefined;
    if (record.fingerprint !== run.fingerprint) return { type: "end", outcome: notRun("key-conflict") };
    switch (record.state) {
        case "begun":
            return { type: "park", until: stamp.now + run.ctx.deadlineMs };
        case "unknown":
            return { type: "end", outcome: unknown("connection-lost") };
        case "done":
            return record.answer === undefined
                ? { type: "end", outcome: unknown("already-run") }
                : { type: "replay", response: record.answer };
    }
}

/** How to refuse a run whose key may have been started by an earlier send of it. */
export function refusalOf(state: NodeState, run: Run, outcome: NotRun, now: number): NotRun | Unknown {
    const key = keyOf(run);
    if (key === undefined) return outcome;
    const record = state.records.keys.get(key);
    if (record !== undefined && record.fingerprint === run.fingerprint) {
        return unknown(record.state === "begun" ? "in-progress" : "already-run");
    }
    return keyTransferOf(state, key, now).type === "free" ? outcome : unknown("inherited-key");
}
