/**
 * Keys that change owners. A node acts on a key that moved to it once the former owner has handed its records
 * over, or once the former owner's last proof has lapsed; in the second case the key's fate is unknown.
 */
import type { List } from "immutable";
import type { Effect } from "./effects.ts";
import type { EventOf, EventStamp } from "./events.ts";
import { memberIdsOf, ownerIdOf, parseMintedKey } from "./keys.ts";
import { withOwnership } from "./ownership.ts";
import type { HandedGap, HandedRecord, PeerRequest } from "./peerMessages.ts";
import { SETTLE_MS } from "./proofTimes.ts";
import { mergeHandedRecords, resendHorizonMs, toHandedRecord } from "./records.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, step } from "./state.ts";
import type { Member, View } from "./types.ts";

const PART_RECORDS = 500;
/** Half of the body limit of the peer listener. */
const PART_BYTES = 512 * 1024;
const SEND_TIMEOUT_MS = 500;
const SEND_RETRY_MS = 50;
/** After this time the new owner no longer waits. */
const SEND_LIFETIME_MS = 2 * SETTLE_MS;
const GAP_LIMIT = 64;
/** How long to wait for the records of a member that left shortly before, ahead of handing on its keys. */
const LEAVER_PATIENCE_MS = 1_000;

/** A change of the view that moved keys to this node, with the former owners that have not handed over. */
export interface Gap {
    /** The version that the change made. */
    readonly version: number;
    readonly offset: number;
    readonly readAt: number;
    /** Ids of the members before the change; undefined when they are not known. */
    readonly before?: readonly string[] | undefined;
    readonly lost: readonly string[];
    /** Told by a former owner of keys, for whom no handover came. */
    readonly reported: boolean;
}

/** A handover in progress to one member. */
export interface Sending {
    readonly to: Member;
    readonly version: number;
    readonly since: number;
    /** Parts still to send, cut when the first one is sent. */
    readonly parts?: readonly HandoverRequest[] | undefined;
    readonly nextAt: number;
    readonly busy: boolean;
}

type HandoverRequest = Extract<PeerRequest, { readonly type: "records.handover"; }>;

export type Claim =
    | { readonly type: "free"; }
    | { readonly type: "moving"; readonly until: number; }
    | { readonly type: "inherited"; };

/** Whether a key that this node owns may have been run by a former owner without this node's knowledge. */
export function claimOf(state: NodeState, key: string, now: number): Claim {
    const stamped = parseMintedKey(key)?.offset;
    let until: number | undefined;
    for (const gap of state.ownership.gaps) {
        // The minting node had read the change, so it never sent the key to the former owner.
        if (stamped !== undefined && stamped >= gap.offset) continue;
        if (!isLost(state, gap, key)) continue;
        const lapsesAt = gap.readAt + SETTLE_MS;
        if (lapsesAt <= now) return { type: "inherited" };
        until = Math.max(until ?? 0, lapsesAt);
    }
    return until === undefined ? { type: "free" } : { type: "moving", until };
}

function isLost(state: NodeState, gap: Gap, key: string): boolean {
    if (gap.before === undefined) return true;
    const former = ownerIdOf(gap.before, key);
    return former !== undefined && former !== state.self.id && gap.lost.includes(former);
}

/** Takes note of a change to the view of this node's service, once for each version. */
export function noteView(state: NodeState, now: number): NodeState {
    const view = state.control.views.get(state.self.service);
    const old = state.ownership.view;
    if (view === undefined || view.version === old?.version) return state;
    const noted = withOwnership(state, { view, notedAt: now, gaps: nextGaps(state, view, now) });
    return old === undefined || view.version !== old.version + 1
        ? noted
        : planHandovers(noted, old, view, now);
}

function nextGaps(state: NodeState, view: View, now: number): List<Gap> {
    const { gaps, view: old } = state.ownership;
    const after = memberIdsOf(view);
    if (!after.includes(state.self.id)) return gaps;
    const before = formerIds(old, view);
    const wasIn = old !== undefined && memberIdsOf(old).includes(state.self.id);
    const lost = before?.filter(id => !wasIn || !after.includes(id)) ?? [];
    // What happened before a join is told by the members that hand over.
    const kept = wasIn
        ? gaps.filter(found => found.readAt > now - resendHorizonMs(state) - SETTLE_MS)
        : gaps.clear();
    if (before !== undefined && lost.length === 0) return kept;
    const { version, offset } = view;
    const next = kept.push({ version, offset, readAt: now, before, lost, reported: false });
    if (next.size <= GAP_LIMIT) return next;
    return next.skip(2).unshift({ ...next.get(1)!, before: undefined });
}

/** The members before the change that made a view; undefined when keys of unknown members may have moved. */
function formerIds(old: View | undefined, view: View): readonly string[] | undefined {
    if (view.version === 1) return [];
    // A service whose last member has gone has nobody who could hand its keys over.
    if (old === undefined || old.version !== view.version - 1 || old.members.length === 0) return undefined;
    return memberIdsOf(old);
}

/** Members to which a change may have moved keys of this node: new ones, and all when this node has left. */
function planHandovers(state: NodeState, old: View, view: View, now: number): NodeState {
    const { id } = state.self;
    if (!old.members.some(member => member.id === id)) return state;
    const stays = view.members.some(member => member.id === id);
    const before = memberIdsOf(old);
    const receivers = view.members.filter(member => !stays || !before.includes(member.id));
    const sending = state.ownership.sending.withMutations(map => {
        for (const to of receivers) {
            map.set(`${view.version}:${to.id}`, {
                to,
                version: view.version,
                since: now,
                nextAt: now,
                busy: false,
            });
        }
    });
    return withOwnership(state, { sending });
}

/** Sends the next part of each handover that is due. */
export function pumpHandovers(state: NodeState, stamp: EventStamp): Step {
    let result = step(state);
    for (const [name, sending] of state.ownership.sending) {
        if (sending.since + SEND_LIFETIME_MS < stamp.now) {
            result = andThen(result, next => step(putSending(next, name, undefined)));
        }
        else if (!sending.busy && sending.nextAt <= stamp.now && !awaitsHandover(state, sending, stamp.now)) {
            result = andThen(result, next => sendPart(next, name, sending, stamp));
        }
    }
    return result;
}

/** Whether this node still expects records from another member; it hands them on with its own. */
function awaitsHandover(state: NodeState, sending: Sending, now: number): boolean {
    const ids = state.ownership.view === undefined ? [] : memberIdsOf(state.ownership.view);
    return state.ownership.gaps.some(gap =>
        gap.version < sending.version && !gap.reported && gap.readAt + SETTLE_MS > now
        && (gap.readAt + LEAVER_PATIENCE_MS > now || gap.lost.some(id => ids.includes(id)))
    );
}

function sendPart(state: NodeState, name: string, sending: Sending, stamp: EventStamp): Step {
    const parts = sending.parts ?? cutParts(state, sending, stamp.now);
    const part = parts[0]!;
    return step(putSending(state, name, { ...sending, parts, busy: true }), sendTo(name, sending.to, part));
}

function sendTo(name: string, to: Member, request: HandoverRequest): Effect {
    return {
        type: "send_rpc",
        token: `handover:${name}`,
        to: to.address,
        timeoutMs: SEND_TIMEOUT_MS,
        request,
    };
}

function cutParts(state: NodeState, sending: Sending, now: number): readonly HandoverRequest[] {
    const view = state.ownership.view!;
    const ids = memberIdsOf(view);
    const moved = state.records.keys.entrySeq()
        .filter(([key]) => ownerIdOf(ids, key) === sending.to.id)
        .map(([key, record]) => toHandedRecord(key, record, now));
    const chunks: HandedRecord[][] = [[]];
    let bytes = 0;
    for (const record of moved) {
        bytes += record.key.length + (record.answer?.body.length ?? 0) + 200;
        if (bytes > PART_BYTES || chunks.at(-1)!.length >= PART_RECORDS) {
            chunks.push([]);
            bytes = 0;
        }
        chunks.at(-1)!.push(record);
    }
    const gaps = lostGaps(state, sending.version, now);
    return chunks.map((records, index) => ({
        type: "records.handover",
        service: state.self.service,
        viewVersion: sending.version,
        sender: state.self.id,
        records,
        gaps: index === 0 ? gaps : [],
        last: index === chunks.length - 1,
    }));
}

/** The changes before a version whose former owners did not hand over to this node. */
function lostGaps(state: NodeState, version: number, now: number): readonly HandedGap[] {
    return state.ownership.gaps.toArray()
        .filter(gap => gap.version < version)
        .map(({ reported: _reported, readAt, ...gap }) => ({ ...gap, ageMs: now - readAt }));
}

/** A part of a handover has been answered. */
export function onHandoverAnswered(state: NodeState, event: EventOf<"rpc_ended">): Step {
    const name = event.token.slice("handover:".length);
    const sending = state.ownership.sending.get(name);
    if (!event.token.startsWith("handover:") || sending?.parts === undefined) return step(state);
    const accepted = event.response?.type === "records.handover" && event.response.accepted;
    if (!accepted) {
        const nextAt = event.now + SEND_RETRY_MS;
        return step(putSending(state, name, { ...sending, busy: false, nextAt }), {
            type: "wake_at",
            at: nextAt,
        });
    }
    const parts = sending.parts.slice(1);
    return step(putSending(state, name, parts.length === 0 ? undefined : { ...sending, parts, busy: false }));
}

function putSending(state: NodeState, name: string, sending: Sending | undefined): NodeState {
    const all = state.ownership.sending;
    return withOwnership(state, {
        sending: sending === undefined ? all.delete(name) : all.set(name, sending),
    });
}

/**
 * Takes a part of a former owner's records. It is not accepted before this node has read the change, since the
 * gap that it closes does not exist yet; the sender tries again.
 */
export function onHandover(
    state: NodeState,
    request: HandoverRequest,
    now: number,
): { readonly state: NodeState; readonly accepted: boolean; } {
    const version = state.ownership.view?.version ?? 0;
    if (request.service !== state.self.service || version < request.viewVersion) {
        return { state, accepted: false };
    }
    const taken = mergeHandedRecords(state, request.records, now);
    const received = request.gaps
        .map(({ ageMs, ...gap }): Gap => ({ ...gap, readAt: now - ageMs, reported: true }))
        .filter(gap => !isKnownGap(taken, gap));
    const gaps = taken.ownership.gaps.unshift(...received);
    return {
        state: withOwnership(taken, { gaps: request.last ? closeGap(gaps, request) : gaps }),
        accepted: true,
    };
}

function isKnownGap(state: NodeState, gap: Gap): boolean {
    return state.ownership.gaps.some(known =>
        known.reported && known.version === gap.version && gap.before !== undefined
        && gap.lost.every(id => known.lost.includes(id))
    );
}

function closeGap(gaps: List<Gap>, request: HandoverRequest): List<Gap> {
    return gaps
        .map(gap =>
            gap.reported || gap.version !== request.viewVersion
                ? gap
                : { ...gap, lost: gap.lost.filter(id => id !== request.sender) }
        )
        .filter(gap => gap.before === undefined || gap.lost.length > 0);
}

/** Tells the new owner of a key how a run ended that was in progress when the key moved. */
export function tellNewOwner(state: NodeState, key: string, now: number): readonly Effect[] {
    const view = state.control.views.get(state.self.service);
    const record = state.records.keys.get(key);
    const ownerId = view === undefined ? undefined : ownerIdOf(memberIdsOf(view), key);
    const owner = view?.members.find(member => member.id === ownerId);
    if (view === undefined || owner === undefined || owner.id === state.self.id) return [];
    return [sendTo("update", owner, {
        type: "records.handover",
        service: state.self.service,
        viewVersion: view.version,
        sender: state.self.id,
        records: record === undefined ? [] : [toHandedRecord(key, record, now)],
        gaps: [],
        last: false,
    })];
}
