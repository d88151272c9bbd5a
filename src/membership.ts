/** The members that this node knows, with their status, limits on their number and age, and queries for routing. */
import type { Map } from "immutable";
import type { MemberStatus } from "./peerMessages.ts";
import type { NodeState } from "./state.ts";
import type { Member } from "./types.ts";
import { formatAddress } from "./types.ts";
import { emptyMap } from "./util.ts";

/** Bound on known members, about four times the planned number of nodes. Further members are ignored. */
const MAX_ENTRIES = 4_096;
/** Retention of dead members that no view lists. After a partition of an hour, each side still knows the other. */
const DEAD_RETENTION_MS = 2 * 3_600_000;

export interface MemberEntry {
    readonly member: Member;
    readonly status: MemberStatus;
    readonly refutation: number;
    /** Whether the member has announced that it drains. A draining incarnation never accepts work again. */
    readonly draining: boolean;
    readonly changedAt: number;
}

/** The probe of the current period. */
export interface Probe {
    readonly seq: number;
    readonly member: Member;
    /** When to probe through other members if no ack has arrived. */
    readonly indirectAt: number;
    readonly indirectSent: boolean;
    readonly acked: boolean;
}

/** A probe sent on behalf of another node. */
export interface ProbeRelay {
    readonly memberId: string;
    readonly requester: Member;
    readonly requesterSeq: number;
}

export interface MembershipState {
    readonly entries: Map<string, MemberEntry>;
    /** Id of the newest known incarnation at an address. */
    readonly byAddress: Map<string, string>;
    readonly byService: Map<string, readonly string[]>;
    /** When each suspected member is declared dead. */
    readonly suspects: Map<string, number>;
    /** By member id, how many more times its latest update is sent. */
    readonly gossipQueue: Map<string, number>;
    /** Members that this node considers dead, but at least one peer lists as alive or draining. Probed again. */
    readonly disputed: readonly string[];
    /** This node's own refutation counter, which SWIM calls its incarnation number. */
    readonly refutation: number;
    /** Sequence number of the next probe. */
    readonly seq: number;
    readonly probe?: Probe | undefined;
    /** By the sequence number under which this node sent the probe. */
    readonly relays: Map<number, ProbeRelay>;
    /** When the next probe period begins. */
    readonly periodAt?: number | undefined;
    /** When the next wake of the failure detector is due. A much later wake shows that this process was paused. */
    readonly dueAt?: number | undefined;
    /** When the next exchange of member lists is due. */
    readonly syncAt: number;
    /** Whether any ack was ever received. Until then, missing acks may be due to this node's own network. */
    readonly hasReceivedAck: boolean;
    /** Whether this node has received a response with a peer's members in the buckets that differ. */
    readonly hasReceivedSync: boolean;
}

export function createMembershipState(): MembershipState {
    return {
        entries: emptyMap(),
        byAddress: emptyMap(),
        byService: emptyMap(),
        suspects: emptyMap(),
        gossipQueue: emptyMap(),
        disputed: [],
        refutation: 0,
        seq: 1,
        relays: emptyMap(),
        syncAt: 0,
        hasReceivedAck: false,
        hasReceivedSync: false,
    };
}

/** All known members of a service: those of its view, and those known from gossip or lists. */
export function membersOf(state: NodeState, service: string): readonly Member[] {
    const viewed = state.control.views.get(service)?.members ?? [];
    const ids = new Set(viewed.map(member => member.id));
    const others = (state.members.byService.get(service) ?? [])
        .filter(id => !ids.has(id))
        .flatMap(id => state.members.entries.get(id)?.member ?? []);
    return [...viewed, ...others];
}

/**
 * Whether new work may be sent to a member. A suspect gets none while a member of its service that is not suspected can
 * accept work.
 */
export function isRoutable(state: NodeState, member: Member): boolean {
    if (!canAcceptWork(state, member)) return false;
    if (statusOfMember(state, member.id) !== "suspect") return true;
    return !membersOf(state, member.service).some(other =>
        canAcceptWork(state, other) && statusOfMember(state, other.id) !== "suspect"
    );
}

/**
 * Whether a member can accept work: it is neither dead nor draining or, if it is this node, it does not drain and its
 * target is up. A suspect can accept work, and so can a member that is known only from a view.
 */
export function canAcceptWork(state: NodeState, member: Member): boolean {
    if (member.id === state.self.id) {
        return !state.draining && state.target !== undefined && !state.target.lost;
    }
    const entry = state.members.entries.get(member.id);
    return entry === undefined || (entry.status !== "dead" && !entry.draining);
}

/** The status of a member. One that is known only from a view counts as alive until a probe fails. */
export function statusOfMember(state: NodeState, id: string): MemberStatus {
    return state.members.entries.get(id)?.status ?? "alive";
}

/** Adds or replaces the entry of a member. A new incarnation at an address supersedes the previous one. */
export function putEntry(members: MembershipState, entry: MemberEntry): MembershipState {
    const { member } = entry;
    const known = members.entries.has(member.id);
    if (!known && members.entries.size >= MAX_ENTRIES) return members;
    const address = formatAddress(member.address);
    const currentId = members.byAddress.get(address);
    const takesAddress = currentId === undefined || (currentId !== member.id && entry.status !== "dead");
    const cleared = takesAddress && currentId !== undefined
        ? supersede(members, currentId, entry.changedAt)
        : members;
    const ids = cleared.byService.get(member.service) ?? [];
    return {
        ...cleared,
        entries: cleared.entries.set(member.id, entry),
        byAddress: takesAddress ? cleared.byAddress.set(address, member.id) : cleared.byAddress,
        byService: known ? cleared.byService : cleared.byService.set(member.service, [...ids, member.id]),
    };
}

function supersede(members: MembershipState, id: string, now: number): MembershipState {
    const entry = members.entries.get(id);
    if (entry === undefined || entry.status === "dead") return members;
    return {
        ...members,
        entries: members.entries.set(id, { ...entry, status: "dead", changedAt: now }),
        suspects: members.suspects.delete(id),
        gossipQueue: members.gossipQueue.delete(id),
    };
}

/** Adds the members of all views that are not known yet. */
export function addViewMembers(state: NodeState, now: number): NodeState {
    let members = state.members;
    for (const view of state.control.views.values()) {
        for (const member of view.members) {
            if (member.id === state.self.id || members.entries.has(member.id)) continue;
            members = putEntry(members, createEntry(member, now));
        }
    }
    return members === state.members ? state : { ...state, members };
}

export function createEntry(member: Member, now: number): MemberEntry {
    return { member, status: "alive", refutation: 0, draining: false, changedAt: now };
}

/** Removes members that have been dead for the retention time and that no view lists. */
export function removeExpiredMembers(state: NodeState, now: number): NodeState {
    const expired = state.members.entries.filter(entry =>
        entry.status === "dead" && entry.changedAt + DEAD_RETENTION_MS <= now
    );
    if (expired.isEmpty()) return state;
    const viewed = new Set(state.control.views.valueSeq().flatMap(view => view.members.map(({ id }) => id)));
    let members = state.members;
    for (const { member } of expired.values()) {
        if (viewed.has(member.id)) continue;
        const address = formatAddress(member.address);
        const ids = (members.byService.get(member.service) ?? []).filter(id => id !== member.id);
        members = {
            ...members,
            entries: members.entries.delete(member.id),
            gossipQueue: members.gossipQueue.delete(member.id),
            byAddress: members.byAddress.get(address) === member.id
                ? members.byAddress.delete(address)
                : members.byAddress,
            byService: ids.length === 0
                ? members.byService.delete(member.service)
                : members.byService.set(member.service, ids),
        };
    }
    return { ...state, members };
}
