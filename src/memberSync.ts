/**
 * Exchange of member lists between two nodes: at the first contact, and periodically so that the halves of a
 * healed partition find each other again. Digests limit an exchange to the parts of the lists that differ.
 */
import { createHash } from "node:crypto";
import type { EventOf, EventStamp } from "./events.ts";
import { mergeUpdates, ownUpdate, refutableUpdateOf, updateOf } from "./gossip.ts";
import { addViewMembers, createEntry, putEntry, removeExpiredMembers } from "./membership.ts";
import type { MemberUpdate, PeerRequest, PeerResponse } from "./peerMessages.ts";
import { pickOne } from "./random.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, step } from "./state.ts";
import type { Address } from "./types.ts";
import { formatAddress, parseAddress } from "./types.ts";

const SYNC_PERIOD_MS = 30_000;
const FIRST_SYNC_RETRY_MS = 1_000;
const SYNC_TIMEOUT_MS = 2_000;
const TOKEN = "sync:";
/** Token of the request that sends a peer the members it lacks. `onSyncResponse` ignores the response. */
const REVERSE_TOKEN = "syncBack:";

type SyncResponse = Extract<PeerResponse, { readonly type: "swim.sync"; }>;
type SyncRequest = Extract<PeerRequest, { readonly type: "swim.sync"; }>;

/** Starts an exchange with a random member if one is due. */
export function syncMembers(state: NodeState, stamp: EventStamp): Step {
    if (stamp.now < state.members.syncAt) return step(state);
    const known = removeExpiredMembers(addViewMembers(state, stamp.now), stamp.now);
    const to = pickOne(
        known.members.hasReceivedSync ? syncCandidates(known, stamp.rand) : contactAddresses(known),
        stamp.rand * 2 % 1,
    );
    const period = known.members.hasReceivedSync
        ? SYNC_PERIOD_MS * (0.75 + stamp.rand / 2)
        : FIRST_SYNC_RETRY_MS;
    const next = { ...known, members: { ...known.members, syncAt: stamp.now + period } };
    if (to === undefined) return step(next);
    return step(next, {
        type: "send_rpc",
        token: TOKEN + formatAddress(to),
        to,
        request: { type: "swim.sync", sender: state.self, updates: [], digests: digestsOf(next) },
        timeoutMs: SYNC_TIMEOUT_MS,
    });
}

/** Addresses to try for the first exchange: the configured join addresses and those of all known members. */
function contactAddresses(state: NodeState): readonly Address[] {
    const own = formatAddress(state.self.address);
    const joins = state.joinAddresses.filter(address => formatAddress(address) !== own);
    const known = state.members.entries.valueSeq().map(entry => entry.member.address).toArray();
    return [...joins, ...known];
}

/**
 * Half of the exchanges go to members considered dead, if any, because they may be alive on the other side of a
 * partition that has healed. The leading bit of `rand` decides (`rand < 0.5`); the caller picks with the remaining
 * bits (`rand * 2 % 1`), which do not depend on it.
 */
function syncCandidates(state: NodeState, rand: number): readonly Address[] {
    const { entries, byAddress } = state.members;
    const current = entries.valueSeq().filter(({ member }) =>
        byAddress.get(formatAddress(member.address)) === member.id
    ).toArray();
    const dead = current.filter(entry => entry.status === "dead");
    if (current.length === 0) return contactAddresses(state);
    return (dead.length > 0 && rand < 0.5 ? dead : current).map(entry => entry.member.address);
}

/** Members are compared by bucket, so that a single difference costs one bucket and not the whole list. */
const BUCKETS = 32;

function bucketOf(id: string): number {
    return (id.charCodeAt(id.length - 1) * 31 + id.charCodeAt(0)) % BUCKETS;
}

/** One hash per bucket of the ids of this node and of the members that it does not consider dead. */
function digestsOf(state: NodeState): readonly string[] {
    const buckets: string[][] = Array.from({ length: BUCKETS }, () => []);
    for (const { member } of liveUpdates(state)) buckets[bucketOf(member.id)]!.push(member.id);
    return buckets.map(ids =>
        ids.length === 0 ? "" : createHash("sha256").update(ids.sort().join()).digest("hex").slice(0, 8)
    );
}

function liveUpdates(state: NodeState): readonly MemberUpdate[] {
    const live = state.members.entries.valueSeq().filter(entry => entry.status !== "dead").map(updateOf);
    return [ownUpdate(state), ...live];
}

export interface SyncResult {
    readonly state: NodeState;
    readonly response: PeerResponse;
}

export function onSyncRequest(state: NodeState, request: SyncRequest, now: number): SyncResult {
    const { sender } = request;
    const refutableUpdate = refutableUpdateOf(state, sender.id);
    const isKnown = sender.id === state.self.id || state.members.entries.has(sender.id);
    const known = isKnown
        ? state
        : { ...state, members: putEntry(state.members, createEntry(sender, now)) };
    const digests = request.digests === undefined ? undefined : digestsOf(known);
    const list = digests === undefined ? [] : liveUpdates(known).filter(({ member }) => {
        const bucket = bucketOf(member.id);
        return digests[bucket] !== request.digests?.[bucket];
    });
    const { state: merged } = mergeUpdates(known, request.updates, { source: "list", now });
    const updates = refutableUpdate === undefined ? list : [...list, refutableUpdate];
    return { state: merged, response: { type: "swim.sync", updates, digests } };
}

export function onSyncResponse(state: NodeState, event: EventOf<"rpc_ended">): Step {
    const { response, token, now } = event;
    if (response?.type !== "swim.sync" || !token.startsWith(TOKEN)) return step(state);
    const merged = mergeUpdates(state, response.updates, { source: "list", now });
    return andThen(merged, next => {
        const synced = { ...next, members: { ...next.members, hasReceivedSync: true } };
        return sendMissingMembers(synced, response, token.slice(TOKEN.length));
    });
}

/** Sends a peer the members that its list lacks in the buckets that differ. */
function sendMissingMembers(state: NodeState, response: SyncResponse, address: string): Step {
    const { host, port } = parseAddress(address);
    const own = digestsOf(state);
    const ids = new Set(response.updates.map(update => update.member.id));
    const updates = liveUpdates(state).filter(({ member }) => {
        const bucket = bucketOf(member.id);
        return !ids.has(member.id) && response.digests?.[bucket] !== own[bucket];
    });
    if (updates.length === 0) return step(state);
    return step(state, {
        type: "send_rpc",
        token: REVERSE_TOKEN + address,
        to: { host, port },
        request: { type: "swim.sync", sender: state.self, updates },
        timeoutMs: SYNC_TIMEOUT_MS,
    });
}
