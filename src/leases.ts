/**
 * Leases on the view of this node's service. For the duration of its lease, a member may start requests with the
 * keys that it owns. The lease begins at a moment up to which the member knows every view change in the log. Such a
 * moment is shown by the node's own read of the log up to its tail, by a peer's report of such a read (the message
 * `view.relay`), or by promises of a majority of the voters.
 */
import { Set } from "immutable";
import { hasMajority, updateReplayed } from "./controlLog.ts";
import type { EventOf, EventStamp } from "./events.ts";
import { LEASE_DURATION_MS } from "./leaseTimes.ts";
import { withOwnership } from "./ownership.ts";
import type { PeerRequest, PeerResponse } from "./peerMessages.ts";
import type { NodeState, Step } from "./state.ts";
import { step } from "./state.ts";
import type { Member, View } from "./types.ts";

/** A long poll takes up to 2 s, so an older last read of the tail means that the log does not respond. */
const MAX_TAIL_READ_AGE_MS = 2_600;
const RENEWAL_PERIOD_MS = 1_000;
const RENEWAL_RPC_TIMEOUT_MS = 900;
/** Number of peers asked at the same time to report their last read of the log. */
const REPORTING_PEERS = 3;

/** One round of promise requests to the voters of a view version. */
export interface PromiseRound {
    readonly version: number;
    readonly sentAt: number;
    /** Ids of the voters that have promised. */
    readonly promisedBy: Set<string>;
}

export interface Lease {
    /** A run may start only before this moment. */
    readonly startBefore: number;
}

/** The current lease of this node; undefined if the lease has expired or was never granted. */
export function leaseOf(state: NodeState, now: number): Lease | undefined {
    const { leaseStartedAt } = state.ownership;
    if (leaseStartedAt === undefined || now >= leaseStartedAt + LEASE_DURATION_MS) return undefined;
    return { startBefore: leaseStartedAt + LEASE_DURATION_MS };
}

/** Whether this node has recently read the log up to its tail. */
export function isLogReadable(state: NodeState, now: number): boolean {
    const { tailReadSentAt } = state.logReader;
    return tailReadSentAt !== undefined && now < tailReadSentAt + MAX_TAIL_READ_AGE_MS;
}

/**
 * While the log is not readable, asks the voters for promises and some peers for reports of their last reads. While it
 * is readable, each read up to the tail renews the lease (see `logReader.ts`).
 */
export function requestLease(state: NodeState, stamp: EventStamp): Step {
    const view = state.control.views.get(state.self.service);
    const { promiseRound } = state.ownership;
    if (view === undefined || isLogReadable(state, stamp.now)) return step(state);
    if (!view.members.some(member => member.id === state.self.id)) return step(state);
    if (promiseRound !== undefined && stamp.now < promiseRound.sentAt + RENEWAL_PERIOD_MS) return step(state);
    const promisedBy = canPromise(state, view.version) ? [state.self.id] : [];
    const newRound: PromiseRound = { version: view.version, sentAt: stamp.now, promisedBy: Set(promisedBy) };
    const service = state.self.service;
    const voters = view.voters.filter(voter => voter.id !== state.self.id);
    return step(
        renewLeaseIfPromised(withOwnership(state, { promiseRound: newRound }), view, newRound),
        ...voters.map(voter =>
            createRpc(`promise:${view.version}:${stamp.now}`, voter, {
                type: "view.promise",
                service,
                version: view.version,
            })
        ),
        ...pickReportingPeers(state, stamp.rand).map(peer =>
            createRpc(`relay:${peer.id}`, peer, { type: "view.relay" })
        ),
    );
}

function createRpc(token: string, to: Member, request: PeerRequest) {
    return { type: "send_rpc" as const, token, to: to.address, timeoutMs: RENEWAL_RPC_TIMEOUT_MS, request };
}

/** Picks up to `REPORTING_PEERS` members of all views: every seventh one from a random position on. */
function pickReportingPeers(state: NodeState, rand: number): readonly Member[] {
    const peers = state.control.views.valueSeq().flatMap(view => view.members)
        .filter(member => member.id !== state.self.id).toArray();
    const start = Math.floor(rand * peers.length);
    const picked = Array.from(
        { length: REPORTING_PEERS },
        (_, index) => peers[(start + index * 7) % peers.length],
    );
    return Set(picked).toArray().filter(peer => peer !== undefined);
}

/**
 * The response of a voter to a promise request. With a promise, the voter states that it knows no later version
 * than the given one, and has not backed (voted for) a change of that version or a later one. A change needs the
 * backing of a majority, so promises of a majority show that the log had no such change when the requests were sent.
 */
export function createPromiseResponse(state: NodeState, service: string, version: number): PeerResponse {
    const knownVersion = state.control.views.get(service)?.version ?? 0;
    const backedVersion = state.ownership.backedVersions.get(service) ?? -1;
    return knownVersion <= version && backedVersion < version
        ? { type: "view.promise", voter: state.self.id }
        : { type: "view.promise" };
}

function canPromise(state: NodeState, version: number): boolean {
    return (state.ownership.backedVersions.get(state.self.service) ?? -1) < version;
}

/** Reports the offset up to which this node has replayed the log, and the age of its last read up to the tail. */
export function createReadReport(state: NodeState, now: number): PeerResponse {
    const { tailReadSentAt } = state.logReader;
    return {
        type: "view.relay",
        offset: state.control.offset,
        ageMs: tailReadSentAt === undefined ? undefined : now - tailReadSentAt,
    };
}

/** Handles the responses to `requestLease`, and the peer state that a read report made this node request. */
export function onLeaseResponse(state: NodeState, event: EventOf<"rpc_ended">): Step {
    switch (event.response?.type) {
        case "view.promise":
            return step(onPromiseResponse(state, event.token, event.response.voter));
        case "view.relay":
            return onReadReport(state, event, event.response);
        case "control.state":
            return event.token.startsWith("relay-state:")
                ? step(adoptPeerState(state, event.response))
                : step(state);
        default:
            return step(state);
    }
}

function onPromiseResponse(state: NodeState, token: string, voter: string | undefined): NodeState {
    const { promiseRound } = state.ownership;
    if (promiseRound === undefined || voter === undefined) return state;
    if (token !== `promise:${promiseRound.version}:${promiseRound.sentAt}`) return state;
    const view = state.control.views.get(state.self.service);
    if (view?.version !== promiseRound.version) return state;
    const updatedRound = { ...promiseRound, promisedBy: promiseRound.promisedBy.add(voter) };
    return renewLeaseIfPromised(withOwnership(state, { promiseRound: updatedRound }), view, updatedRound);
}

/** Renews the lease if a majority of the voters has promised. A view without voters renews none. */
function renewLeaseIfPromised(state: NodeState, view: View, round: PromiseRound): NodeState {
    if (view.voters.length === 0 || !hasMajority(view, round.promisedBy.toArray())) return state;
    return renewLease(state, round.sentAt);
}

function renewLease(state: NodeState, startedAt: number): NodeState {
    return withOwnership(state, {
        leaseStartedAt: Math.max(startedAt, state.ownership.leaseStartedAt ?? -Infinity),
    });
}

function onReadReport(
    state: NodeState,
    event: EventOf<"rpc_ended">,
    response: Extract<PeerResponse, { readonly type: "view.relay"; }>,
): Step {
    if (response.ageMs === undefined || response.ageMs >= LEASE_DURATION_MS) return step(state);
    if (state.control.offset >= response.offset) {
        return step(renewLease(state, event.sentAt - response.ageMs));
    }
    const id = event.token.slice("relay:".length);
    const peer = state.control.views.valueSeq().flatMap(view => view.members).find(member =>
        member.id === id
    );
    if (peer === undefined) return step(state);
    return step(state, createRpc(`relay-state:${id}`, peer, { type: "control.state" }));
}

/**
 * Adopts the state of a peer that has read further in the log. The peer must have replayed that state itself:
 * a state that includes versions from other peers may contain the effects of records after its offset.
 */
function adoptPeerState(
    state: NodeState,
    peer: Extract<PeerResponse, { readonly type: "control.state"; }>,
): NodeState {
    const { control, logReader } = state;
    if (peer.isReplayed !== true || logReader.bootstrap !== undefined) return state;
    if (peer.offset <= control.offset) return state;
    const replica = { config: peer.config, views: control.views.clear().merge(peer.views) };
    return { ...state, control: updateReplayed({ ...control, offset: peer.offset }, replica) };
}
