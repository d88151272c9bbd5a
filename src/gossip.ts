/** Gossip about members: which of two updates is newer, how updates are applied, how often they are sent. */
import type { Effect } from "./effects.ts";
import type { MemberEntry, MembershipState } from "./membership.ts";
import { createEntry, putEntry } from "./membership.ts";
import type { MemberStatus, MemberUpdate } from "./peerMessages.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, step } from "./state.ts";
import type { Member } from "./types.ts";

const UPDATES_PER_MESSAGE = 6;
/** The number of times that an update is sent is this factor times log2 of the number of members. */
const RETRANSMIT_MULTIPLIER = 3;
/** Bound on updates waiting to be sent. The one with the fewest transmissions left is dropped first. */
const MAX_QUEUED_UPDATES = 1_024;
const MIN_SUSPICION_MS = 3_000;
const SUSPICION_PER_LOG10_MS = 2_000;

/** Of two updates with the same refutation counter, the one with the higher rank is newer. */
const STATUS_RANKS: Readonly<Record<MemberStatus, number>> = { alive: 0, draining: 1, suspect: 2, dead: 3 };

/** How long a suspicion lasts, so that its refutation has time to spread. */
export function suspicionMs(size: number): number {
    return Math.max(MIN_SUSPICION_MS, SUSPICION_PER_LOG10_MS * Math.log10(size));
}

function retransmitLimit(size: number): number {
    return Math.ceil(RETRANSMIT_MULTIPLIER * Math.log2(Math.max(2, size)));
}

/** The update in which this node reports its own status. */
export function ownUpdate(state: NodeState): MemberUpdate {
    return {
        member: state.self,
        status: state.draining ? "draining" : "alive",
        refutation: state.members.refutation,
    };
}

export function updateOf(entry: MemberEntry): MemberUpdate {
    const status = entry.status === "alive" && entry.draining ? "draining" : entry.status;
    return { member: entry.member, status, refutation: entry.refutation };
}

/** Queues the latest update about a member for sending. */
export function enqueueUpdate(members: MembershipState, id: string): MembershipState {
    let gossipQueue = members.gossipQueue.set(id, retransmitLimit(members.entries.size + 1));
    if (gossipQueue.size > MAX_QUEUED_UPDATES) {
        gossipQueue = gossipQueue.delete(gossipQueue.sortBy(left => left).keySeq().first()!);
    }
    return { ...members, gossipQueue };
}

/** Raises this node's refutation counter by one, or to `atLeast` if that is higher, and queues its own update. */
export function enqueueOwnUpdate(state: NodeState, atLeast: number): NodeState {
    const refutation = Math.max(state.members.refutation + 1, atLeast);
    return { ...state, members: enqueueUpdate({ ...state.members, refutation }, state.self.id) };
}

export interface SelectedUpdates {
    readonly members: MembershipState;
    readonly updates: readonly MemberUpdate[];
}

/**
 * Selects the updates for a message: the one that the receiver must refute, then those with the most transmissions
 * left. `refutableUpdate` is passed for a response, because the request may already have changed the receiver's entry.
 */
export function selectUpdates(state: NodeState, to: Member, refutableUpdate?: MemberUpdate): SelectedUpdates {
    const { entries, gossipQueue } = state.members;
    const toRefute = refutableUpdate ?? refutableUpdateOf(state, to.id);
    const updates: MemberUpdate[] = toRefute === undefined ? [] : [toRefute];
    if (gossipQueue.isEmpty()) return { members: state.members, updates };
    let queue = gossipQueue;
    for (const [id, transmissionsLeft] of pickQueued(gossipQueue, UPDATES_PER_MESSAGE - updates.length)) {
        const entry = entries.get(id);
        queue = transmissionsLeft <= 1 ? queue.delete(id) : queue.set(id, transmissionsLeft - 1);
        if (id === to.id) continue;
        if (id === state.self.id) updates.push(ownUpdate(state));
        else if (entry !== undefined) updates.push(updateOf(entry));
    }
    return { members: { ...state.members, gossipQueue: queue }, updates };
}

/**
 * The queued updates with the most transmissions left. Takes one pass, because sorting the whole queue for each
 * message would dominate the cost of a probe at 950 members.
 */
function pickQueued(
    queue: MembershipState["gossipQueue"],
    count: number,
): readonly (readonly [string, number])[] {
    const chosen: (readonly [string, number])[] = [];
    for (const [id, transmissionsLeft] of queue.entries()) {
        if (chosen.length === count && transmissionsLeft <= chosen[count - 1]![1]) continue;
        const index = chosen.findIndex(other => other[1] < transmissionsLeft);
        chosen.splice(index < 0 ? chosen.length : index, 0, [id, transmissionsLeft]);
        if (chosen.length > count) chosen.pop();
    }
    return chosen;
}

/** The update that calls a member suspect or dead, which the member must refute; otherwise undefined. */
export function refutableUpdateOf(state: NodeState, id: string): MemberUpdate | undefined {
    const entry = state.members.entries.get(id);
    return entry === undefined || STATUS_RANKS[entry.status] < STATUS_RANKS.suspect
        ? undefined
        : updateOf(entry);
}

export interface MergeOptions {
    /**
     * Where the updates come from. Results of this node's own probes count as gossip. A list does not make a known
     * member suspect or dead, because a list from the other side of a healed partition calls all members of this side
     * dead.
     */
    readonly source: "gossip" | "list";
    readonly now: number;
}

export function mergeUpdates(state: NodeState, updates: readonly MemberUpdate[], opts: MergeOptions): Step {
    return updates.reduce(
        (result, update) => andThen(result, next => mergeUpdate(next, update, opts)),
        step(state),
    );
}

function mergeUpdate(state: NodeState, update: MemberUpdate, opts: MergeOptions): Step {
    const { member, status, refutation } = update;
    if (member.id === state.self.id) {
        const isRefutable = STATUS_RANKS[status] >= STATUS_RANKS.suspect
            && refutation >= state.members.refutation;
        return step(isRefutable ? enqueueOwnUpdate(state, refutation + 1) : state);
    }
    const entry = state.members.entries.get(member.id);
    if (entry === undefined) {
        if (status === "dead") return step(state);
        return setStatus(state, createEntry(member, opts.now), update, opts);
    }
    const isNewer = refutation > entry.refutation
        || (refutation === entry.refutation && STATUS_RANKS[status] > STATUS_RANKS[entry.status]);
    if (!isNewer) return step(addIfDisputed(state, entry, update, opts));
    if (opts.source === "list" && STATUS_RANKS[status] >= STATUS_RANKS.suspect) return step(state);
    // A partition may be why others consider the member dead, so one that is not suspected here gets time to refute.
    const effective = status === "dead" && STATUS_RANKS[entry.status] < STATUS_RANKS.suspect
        ? { ...update, status: "suspect" as const }
        : update;
    return setStatus(state, entry, effective, opts);
}

/**
 * Adds a member that this node considers dead to `disputed` if a peer's list has it as alive or draining, with the
 * same refutation counter.
 */
function addIfDisputed(
    state: NodeState,
    entry: MemberEntry,
    update: MemberUpdate,
    opts: MergeOptions,
): NodeState {
    const { disputed } = state.members;
    const isDisputed = opts.source === "list" && entry.status === "dead"
        && STATUS_RANKS[update.status] < STATUS_RANKS.suspect && update.refutation === entry.refutation;
    if (!isDisputed || disputed.includes(entry.member.id)) return state;
    return { ...state, members: { ...state.members, disputed: [...disputed, entry.member.id] } };
}

/**
 * Sets the status of a member, starts or ends a suspicion, and queues the update. Updates from a list are not
 * queued: list exchanges spread them, and whole lists would delay later updates in the queue for minutes.
 */
export function setStatus(
    state: NodeState,
    entry: MemberEntry,
    update: MemberUpdate,
    opts: MergeOptions,
): Step {
    const { now } = opts;
    const { status, refutation } = update;
    const { id } = entry.member;
    const next: MemberEntry = {
        ...entry,
        status,
        refutation,
        draining: entry.draining || status === "draining",
        changedAt: now,
    };
    const put = putEntry(state.members, next);
    if (!put.entries.has(id)) return step(state);
    const suspects = status === "suspect"
        ? put.suspects.set(id, now + suspicionMs(put.entries.size + 1))
        : put.suspects.delete(id);
    const effects: readonly Effect[] = status === entry.status
        ? []
        : [{ type: "log", event: "member", fields: { member: id, status } }];
    const members = { ...put, suspects };
    return step(
        { ...state, members: opts.source === "list" ? members : enqueueUpdate(members, id) },
        ...effects,
    );
}
