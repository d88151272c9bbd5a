/**
 * Handover of key records after a view change. The new owner of a key may start requests with it once the former
 * owner has handed over its records. If no handover comes, the new owner waits until every lease of the former
 * owner has expired, and then reports the outcome of such requests as unknown.
 */
import type { List } from "immutable";
import type { Effect } from "./effects.ts";
import type { EventOf, EventStamp } from "./events.ts";
import { memberIdsOf, ownerIdOf, parseMintedKey } from "./keys.ts";
import { LEASE_EXPIRY_WAIT_MS } from "./leaseTimes.ts";
import { withOwnership } from "./ownership.ts";
import type { HandedRecord, PeerRequest, ReportedMissingHandover } from "./peerMessages.ts";
import { mergeHandedRecords, resendHorizonMs, toHandedRecord } from "./records.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, step } from "./state.ts";
import type { Member, View } from "./types.ts";

const MAX_PART_RECORDS = 500;
/** Half of the body size limit of the peer listener. */
const MAX_PART_BYTES = 512 * 1024;
const HANDOVER_RPC_TIMEOUT_MS = 500;
const RETRY_DELAY_MS = 50;
/** A handover not accepted within this time is dropped; the new owner has then stopped waiting for it. */
const HANDOVER_TIMEOUT_MS = 2 * LEASE_EXPIRY_WAIT_MS;
const MAX_MISSING_HANDOVERS = 64;
/** How long a handover waits for the records of a member that has left the view, so that it can include them. */
const LEAVER_WAIT_MS = 1_000;

/** A view change that moved keys to this node, and the former owners that have not handed over records. */
export interface MissingHandover {
    /** The view version that the change created. */
    readonly version: number;
    /** Log offset of the change. */
    readonly offset: number;
    /** When this node read the change. */
    readonly readAt: number;
    /** Ids of the members before the change; undefined if unknown. */
    readonly before?: readonly string[] | undefined;
    /**
     * Ids of the former owners that have not handed over their records. They may be alive and still do so. The name
     * is that of the field in `records.handover`.
     */
    readonly lost: readonly string[];
    /** Whether a former owner reported this entry because it did not receive the handover itself. */
    readonly reported: boolean;
}

/** A handover in progress to one member. */
export interface OutgoingHandover {
    readonly to: Member;
    readonly version: number;
    readonly startedAt: number;
    /** The parts still to send; created when the first one is sent. */
    readonly parts?: readonly HandoverRequest[] | undefined;
    readonly nextSendAt: number;
    readonly isInFlight: boolean;
}

type HandoverRequest = Extract<PeerRequest, { readonly type: "records.handover"; }>;

/** Whether former owners of a key allow this node, its owner, to start a request with the key. */
export type KeyTransfer =
    /** No former owner can have run a request with the key without this node's knowledge. */
    | { readonly type: "free"; }
    /** Until `until`, a former owner may still run a request with the key or hand over its records. */
    | { readonly type: "moving"; readonly until: number; }
    /** A former owner may have run a request with the key, but this node did not get its records in time. */
    | { readonly type: "inherited"; };

/** Determines whether a former owner may have run a request with a key without this node's knowledge. */
export function keyTransferOf(state: NodeState, key: string, now: number): KeyTransfer {
    const mintedOffset = parseMintedKey(key)?.offset;
    let until: number | undefined;
    for (const missing of state.ownership.missingHandovers) {
        // The node that minted the key had read the change, so it never sent the request to the former owner.
        if (mintedOffset !== undefined && mintedOffset >= missing.offset) continue;
        if (!isHandoverMissing(state, missing, key)) continue;
        const leaseEndsAt = missing.readAt + LEASE_EXPIRY_WAIT_MS;
        if (leaseEndsAt <= now) return { type: "inherited" };
        until = Math.max(until ?? 0, leaseEndsAt);
    }
    return until === undefined ? { type: "free" } : { type: "moving", until };
}

function isHandoverMissing(state: NodeState, missing: MissingHandover, key: string): boolean {
    if (missing.before === undefined) return true;
    const former = ownerIdOf(missing.before, key);
    return former !== undefined && former !== state.self.id && missing.lost.includes(former);
}

/** Updates the missing and the outgoing handovers when the view of this node's service has changed. */
export function applyViewChange(state: NodeState, now: number): NodeState {
    const view = state.control.views.get(state.self.service);
    const old = state.ownership.appliedView;
    if (view === undefined || view.version === old?.version) return state;
    const applied = withOwnership(state, {
        appliedView: view,
        viewAppliedAt: now,
        missingHandovers: updateMissingHandovers(state, view, now),
    });
    return old === undefined || view.version !== old.version + 1
        ? applied
        : planHandovers(applied, old, view, now);
}

function updateMissingHandovers(state: NodeState, view: View, now: number): List<MissingHandover> {
    const { missingHandovers, appliedView: old } = state.ownership;
    const after = memberIdsOf(view);
    if (!after.includes(state.self.id)) return missingHandovers;
    const before = previousMemberIds(old, view);
    const wasMember = old !== undefined && memberIdsOf(old).includes(state.self.id);
    const lost = before?.filter(id => !wasMember || !after.includes(id)) ?? [];
    // A member keeps an entry until callers no longer retry the requests that a former owner can have run under its
    // last lease. A node that joins drops its entries, and relies on the reports of the members that hand over to it.
    const retained = wasMember
        ? missingHandovers.filter(missing =>
            missing.readAt > now - resendHorizonMs(state) - LEASE_EXPIRY_WAIT_MS
        )
        : missingHandovers.clear();
    if (before !== undefined && lost.length === 0) return retained;
    const { version, offset } = view;
    return mergeOldest(retained.push({ version, offset, readAt: now, before, lost, reported: false }));
}

/** Merges the oldest entries until the limit is met. Without `before`, an entry applies to every key. */
function mergeOldest(missingHandovers: List<MissingHandover>): List<MissingHandover> {
    let result = missingHandovers;
    while (result.size > MAX_MISSING_HANDOVERS) {
        const [first, second] = [result.get(0)!, result.get(1)!];
        result = result.skip(2).unshift({
            ...second,
            before: undefined,
            offset: Math.max(first.offset, second.offset),
            readAt: Math.max(first.readAt, second.readAt),
        });
    }
    return result;
}

/** Ids of the members before a view was created; undefined if unknown members may have owned keys. */
function previousMemberIds(old: View | undefined, view: View): readonly string[] | undefined {
    if (view.version === 1) return [];
    // If the previous view was empty, members of earlier views may have owned keys, but none hands over.
    if (old === undefined || old.version !== view.version - 1 || old.members.length === 0) return undefined;
    return memberIdsOf(old);
}

/**
 * Plans handovers to the members to which a change may have moved keys of this node: new members, or all
 * members if this node has left the view.
 */
function planHandovers(state: NodeState, old: View, view: View, now: number): NodeState {
    const { id } = state.self;
    if (!old.members.some(member => member.id === id)) return state;
    const isMember = view.members.some(member => member.id === id);
    const before = memberIdsOf(old);
    const receivers = view.members.filter(member => !isMember || !before.includes(member.id));
    const outgoingHandovers = state.ownership.outgoingHandovers.withMutations(map => {
        for (const to of receivers) {
            map.set(`${view.version}:${to.id}`, {
                to,
                version: view.version,
                startedAt: now,
                nextSendAt: now,
                isInFlight: false,
            });
        }
    });
    return withOwnership(state, { outgoingHandovers });
}

/** Sends the next part of each handover that is due. */
export function sendHandovers(state: NodeState, stamp: EventStamp): Step {
    let result = step(state);
    for (const [id, handover] of state.ownership.outgoingHandovers) {
        if (handover.startedAt + HANDOVER_TIMEOUT_MS < stamp.now) {
            result = andThen(result, next => step(putOutgoingHandover(next, id, undefined)));
        }
        else if (
            !handover.isInFlight && handover.nextSendAt <= stamp.now
            && !isAwaitingHandover(state, handover, stamp.now)
        ) {
            result = andThen(result, next => sendPart(next, id, handover, stamp));
        }
    }
    return result;
}

/** Whether a handover waits for records that this node still expects, so that it can pass them on with its own. */
function isAwaitingHandover(state: NodeState, handover: OutgoingHandover, now: number): boolean {
    const ids = state.ownership.appliedView === undefined ? [] : memberIdsOf(state.ownership.appliedView);
    return state.ownership.missingHandovers.some(missing =>
        missing.version < handover.version && !missing.reported && missing.readAt + LEASE_EXPIRY_WAIT_MS > now
        && (missing.readAt + LEAVER_WAIT_MS > now || missing.lost.some(id => ids.includes(id)))
    );
}

function sendPart(state: NodeState, id: string, handover: OutgoingHandover, stamp: EventStamp): Step {
    const parts = handover.parts ?? createParts(state, handover, stamp.now);
    const part = parts[0]!;
    return step(
        putOutgoingHandover(state, id, { ...handover, parts, isInFlight: true }),
        createHandoverRpc(id, handover.to, part),
    );
}

function createHandoverRpc(id: string, to: Member, request: HandoverRequest): Effect {
    return {
        type: "send_rpc",
        token: `handover:${id}`,
        to: to.address,
        timeoutMs: HANDOVER_RPC_TIMEOUT_MS,
        request,
    };
}

function createParts(state: NodeState, handover: OutgoingHandover, now: number): readonly HandoverRequest[] {
    const view = state.ownership.appliedView!;
    const ids = memberIdsOf(view);
    const moved = state.records.keys.entrySeq()
        .filter(([key]) => ownerIdOf(ids, key) === handover.to.id)
        .map(([key, record]) => toHandedRecord(key, record, now));
    const chunks: HandedRecord[][] = [[]];
    let bytes = 0;
    for (const record of moved) {
        bytes += record.key.length + (record.answer?.body.length ?? 0) + 200;
        if (bytes > MAX_PART_BYTES || chunks.at(-1)!.length >= MAX_PART_RECORDS) {
            chunks.push([]);
            bytes = 0;
        }
        chunks.at(-1)!.push(record);
    }
    const gaps = missingHandoversBefore(state, handover.version, now);
    return chunks.map((records, index) => ({
        type: "records.handover",
        service: state.self.service,
        viewVersion: handover.version,
        sender: state.self.id,
        records,
        gaps: index === 0 ? gaps : [],
        last: index === chunks.length - 1,
    }));
}

/** The view changes before a version for which this node still misses handovers. */
function missingHandoversBefore(
    state: NodeState,
    version: number,
    now: number,
): readonly ReportedMissingHandover[] {
    return state.ownership.missingHandovers.toArray()
        .filter(missing => missing.version < version)
        .map(({ reported: _reported, readAt, ...missing }) => ({ ...missing, ageMs: now - readAt }));
}

/** Handles the response to a part of a handover: removes an accepted part, or schedules a retry. */
export function onHandoverResponse(state: NodeState, event: EventOf<"rpc_ended">): Step {
    const id = event.token.slice("handover:".length);
    const handover = state.ownership.outgoingHandovers.get(id);
    if (!event.token.startsWith("handover:") || handover?.parts === undefined) return step(state);
    const accepted = event.response?.type === "records.handover" && event.response.accepted;
    if (!accepted) {
        const nextSendAt = event.now + RETRY_DELAY_MS;
        return step(putOutgoingHandover(state, id, { ...handover, isInFlight: false, nextSendAt }), {
            type: "wake_at",
            at: nextSendAt,
        });
    }
    const parts = handover.parts.slice(1);
    return step(
        putOutgoingHandover(
            state,
            id,
            parts.length === 0 ? undefined : { ...handover, parts, isInFlight: false },
        ),
    );
}

function putOutgoingHandover(
    state: NodeState,
    id: string,
    handover: OutgoingHandover | undefined,
): NodeState {
    const outgoingHandovers = state.ownership.outgoingHandovers;
    return withOwnership(state, {
        outgoingHandovers: handover === undefined
            ? outgoingHandovers.delete(id)
            : outgoingHandovers.set(id, handover),
    });
}

/**
 * Merges a part of a former owner's records. Until this node has read the view change, it rejects the part,
 * because it has no missing handover yet that the part could complete; the sender retries.
 */
export function onHandoverRequest(
    state: NodeState,
    request: HandoverRequest,
    now: number,
): { readonly state: NodeState; readonly accepted: boolean; } {
    const version = state.ownership.appliedView?.version ?? 0;
    if (request.service !== state.self.service || version < request.viewVersion) {
        return { state, accepted: false };
    }
    const merged = mergeHandedRecords(state, request.records, now);
    const received = request.gaps
        .map(({ ageMs, ...missing }): MissingHandover => ({
            ...missing,
            readAt: now - ageMs,
            reported: true,
        }))
        .filter(missing => !isKnownMissingHandover(merged, missing));
    const missingHandovers = mergeOldest(merged.ownership.missingHandovers.unshift(...received));
    return {
        state: withOwnership(merged, {
            missingHandovers: request.last
                ? removeReceivedHandover(missingHandovers, request)
                : missingHandovers,
        }),
        accepted: true,
    };
}

function isKnownMissingHandover(state: NodeState, missing: MissingHandover): boolean {
    return state.ownership.missingHandovers.some(known => {
        if (!known.reported || known.version !== missing.version) return false;
        // An entry without `before` applies to every key, until a time that follows from `readAt`.
        if (known.before === undefined) return known.readAt >= missing.readAt;
        return missing.before !== undefined && missing.lost.every(id => known.lost.includes(id));
    });
}

function removeReceivedHandover(
    missingHandovers: List<MissingHandover>,
    request: HandoverRequest,
): List<MissingHandover> {
    return missingHandovers
        .map(missing =>
            missing.reported || missing.version !== request.viewVersion
                ? missing
                : { ...missing, lost: missing.lost.filter(id => id !== request.sender) }
        )
        .filter(missing => missing.before === undefined || missing.lost.length > 0);
}

/**
 * Sends the new owner of a key the record of a run that ended after the key had moved. It is not retried: `update`
 * is not the id of an outgoing handover, so the response is ignored.
 */
export function sendRecordToNewOwner(state: NodeState, key: string, now: number): readonly Effect[] {
    const view = state.control.views.get(state.self.service);
    const record = state.records.keys.get(key);
    const ownerId = view === undefined ? undefined : ownerIdOf(memberIdsOf(view), key);
    const owner = view?.members.find(member => member.id === ownerId);
    if (view === undefined || owner === undefined || owner.id === state.self.id) return [];
    return [createHandoverRpc("update", owner, {
        type: "records.handover",
        service: state.self.service,
        viewVersion: view.version,
        sender: state.self.id,
        records: record === undefined ? [] : [toHandedRecord(key, record, now)],
        gaps: [],
        last: false,
    })];
}
