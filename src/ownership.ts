/**
 * Ownership of keys. Only the member that owns the key of a non-idempotent request in the current view may
 * run the request, and only while it holds a lease. This module defines the ownership state and decides whether a
 * run may start. `viewChanges.ts` changes views, `leases.ts` renews the lease, and `handover.ts` moves the
 * records of keys to their new owners.
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
    /** When the request that last renewed the lease was sent; undefined before the first renewal. */
    readonly leaseStartedAt?: number | undefined;
    /** The promises that this node is collecting to renew its lease. */
    readonly promiseRound?: PromiseRound | undefined;
    /** The view change that this node has proposed. */
    readonly proposal?: Proposal | undefined;
    /** The node makes no new proposal before this time. */
    readonly nextProposalAt: number;
    /** When this node began to leave its view. */
    readonly leavingSince?: number | undefined;
    /** By service, the highest base version of the view changes that this voter has backed. */
    readonly backedVersions: Map<string, number>;
    /** The view of this node's service up to which `missingHandovers` and `outgoingHandovers` are current. */
    readonly appliedView?: View | undefined;
    /** When the next periodic ownership work is due. */
    readonly nextTickAt?: number | undefined;
    /** When this node applied `appliedView`. */
    readonly viewAppliedAt?: number | undefined;
    /** View changes that moved keys to this node and for which handovers are still missing. */
    readonly missingHandovers: List<MissingHandover>;
    /** Handovers that this node still has to send, by view version and id of the receiving member. */
    readonly outgoingHandovers: Map<string, OutgoingHandover>;
    /**
     * By run id, when to check each parked run again. A parked run waits until a request with its key may start or,
     * if it is suspected of causing a crash, until no other suspect is at the target.
     */
    readonly parked: Map<number, number>;
    /** By id, the calls whose next attempt waits for a newer view, with the time of that attempt. */
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

/** What to do with a run for which the target has capacity. */
export type RunDecision =
    | { readonly type: "start"; readonly state: NodeState; readonly startBefore?: number | undefined; }
    /** The run waits. It is checked again at `until`, or earlier when an event may have unblocked it. */
    | { readonly type: "park"; readonly until: number; }
    | { readonly type: "replay"; readonly response: RecordedResponse; }
    | { readonly type: "end"; readonly outcome: NotRun | Unknown; };

/** Decides whether a run may start, in the same reducer step that forwards it. */
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

/** The key of a run that must not run twice; undefined for an idempotent kind. */
export function keyOf(run: Pick<Run, "ctx" | "kind">): string | undefined {
    return run.kind.nonIdempotent ? run.ctx.key : undefined;
}

/**
 * The decision that follows from this node's record of the run's key; undefined without a record. It is made
 * before the checks that may refuse a run, because a node must not report "not run" for a request that it has a
 * record of.
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

/** The outcome to report when a run is refused: "unknown" if an earlier attempt with its key may have run. */
export function refusalOf(state: NodeState, run: Run, outcome: NotRun, now: number): NotRun | Unknown {
    const key = keyOf(run);
    if (key === undefined) return outcome;
    const record = state.records.keys.get(key);
    if (record !== undefined && record.fingerprint === run.fingerprint) {
        return unknown(record.state === "begun" ? "in-progress" : "already-run");
    }
    return keyTransferOf(state, key, now).type === "free" ? outcome : unknown("inherited-key");
}
