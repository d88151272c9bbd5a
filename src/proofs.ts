/**
 * Evidence that no change to the view of this node's service was in the log at a known time: an own read of the
 * log up to its tail, such a read relayed by a peer, or the promises of a majority of the voters.
 */
import { Set } from "immutable";
import { hasMajority, putInForce } from "./controlLog.ts";
import type { EventOf, EventStamp } from "./events.ts";
import { withOwnership } from "./ownership.ts";
import type { PeerRequest, PeerResponse } from "./peerMessages.ts";
import { PROOF_LIFETIME_MS } from "./proofTimes.ts";
import type { NodeState, Step } from "./state.ts";
import { step } from "./state.ts";
import type { Member, View } from "./types.ts";

/** The long poll takes 2 s, so a tail that is older than this means that the log does not answer. */
const LOG_SILENCE_MS = 2_600;
const ASK_PERIOD_MS = 1_000;
const ASK_TIMEOUT_MS = 900;
/** Peers that are asked at once to relay their read of the log. */
const RELAYS = 3;

export interface Ballot {
    readonly version: number;
    readonly sentAt: number;
    readonly promised: Set<string>;
}

export interface Proof {
    /** The last moment at which a run may start under the proof. */
    readonly startBefore: number;
}

/** The newest proof of this node, if it still holds. */
export function proofOf(state: NodeState, now: number): Proof | undefined {
    const { provenAt } = state.ownership;
    if (provenAt === undefined || now >= provenAt + PROOF_LIFETIME_MS) return undefined;
    return { startBefore: provenAt + PROOF_LIFETIME_MS };
}

/** Whether this node has lately read the log up to its tail. */
export function isLogReadable(state: NodeState, now: number): boolean {
    const { tailAskedAt } = state.logReader;
    return tailAskedAt !== undefined && now < tailAskedAt + LOG_SILENCE_MS;
}

/** Asks peers for promises and relayed reads while the log does not answer. */
export function askForProof(state: NodeState, stamp: EventStamp): Step {
    const view = state.control.views.get(state.self.service);
    const { ballot } = state.ownership;
    if (view === undefined || isLogReadable(state, stamp.now)) return step(state);
    if (!view.members.some(member => member.id === state.self.id)) return step(state);
    if (ballot !== undefined && stamp.now < ballot.sentAt + ASK_PERIOD_MS) return step(state);
    const own = mayPromise(state, view.version) ? [state.self.id] : [];
    const next: Ballot = { version: view.version, sentAt: stamp.now, promised: Set(own) };
    const service = state.self.service;
    const voters = view.voters.filter(voter => voter.id !== state.self.id);
    return step(
        countBallot(withOwnership(state, { ballot: next }), view, next),
        ...voters.map(voter =>
            ask(`promise:${view.version}:${stamp.now}`, voter, {
                type: "view.promise",
                service,
                version: view.version,
            })
        ),
        ...pickRelays(state, stamp.rand).map(peer => ask(`relay:${peer.id}`, peer, { type: "view.relay" })),
    );
}

function ask(token: string, to: Member, request: PeerRequest) {
    return { type: "send_rpc" as const, token, to: to.address, timeoutMs: ASK_TIMEOUT_MS, request };
}

function pickRelays(state: NodeState, rand: number): readonly Member[] {
    const peers = state.control.views.valueSeq().flatMap(view => view.members)
        .filter(member => member.id !== state.self.id).toArray();
    const start = Math.floor(rand * peers.length);
    const picked = Array.from({ length: RELAYS }, (_, index) => peers[(start + index * 7) % peers.length]);
    return Set(picked).toArray().filter(peer => peer !== undefined);
}

/** A voter promises for a version unless it has backed a change from it or knows of a later one. */
export function answerPromise(state: NodeState, service: string, version: number): PeerResponse {
    const known = state.control.views.get(service)?.version ?? 0;
    const backed = state.ownership.backed.get(service) ?? -1;
    return known <= version && backed < version
        ? { type: "view.promise", voter: state.self.id }
        : { type: "view.promise" };
}

function mayPromise(state: NodeState, version: number): boolean {
    return (state.ownership.backed.get(state.self.service) ?? -1) < version;
}

/** Tells up to which offset this node has read the log, and how long ago it asked for the tail. */
export function answerRelay(state: NodeState, now: number): PeerResponse {
    const { tailAskedAt } = state.logReader;
    return {
        type: "view.relay",
        offset: state.control.offset,
        ageMs: tailAskedAt === undefined ? undefined : now - tailAskedAt,
    };
}

/** Takes the answers to `askForProof`. */
export function onProofAnswered(state: NodeState, event: EventOf<"rpc_ended">): Step {
    switch (event.response?.type) {
        case "view.promise":
            return step(onPromised(state, event.token, event.response.voter));
        case "view.relay":
            return onRelayed(state, event, event.response);
        case "control.state":
            return event.token.startsWith("relay-state:")
                ? step(adoptState(state, event.response))
                : step(state);
        default:
            return step(state);
    }
}

function onPromised(state: NodeState, token: string, voter: string | undefined): NodeState {
    const { ballot } = state.ownership;
    if (ballot === undefined || voter === undefined) return state;
    if (token !== `promise:${ballot.version}:${ballot.sentAt}`) return state;
    const view = state.control.views.get(state.self.service);
    if (view?.version !== ballot.version) return state;
    const next = { ...ballot, promised: ballot.promised.add(voter) };
    return countBallot(withOwnership(state, { ballot: next }), view, next);
}

/** A view without voters has nobody who could promise. */
function countBallot(state: NodeState, view: View, ballot: Ballot): NodeState {
    if (view.voters.length === 0 || !hasMajority(view, ballot.promised.toArray())) return state;
    return prove(state, ballot.sentAt);
}

function prove(state: NodeState, provenAt: number): NodeState {
    return withOwnership(state, { provenAt: Math.max(provenAt, state.ownership.provenAt ?? -Infinity) });
}

function onRelayed(
    state: NodeState,
    event: EventOf<"rpc_ended">,
    relayed: Extract<PeerResponse, { readonly type: "view.relay"; }>,
): Step {
    if (relayed.ageMs === undefined || relayed.ageMs >= PROOF_LIFETIME_MS) return step(state);
    if (state.control.offset >= relayed.offset) return step(prove(state, event.sentAt - relayed.ageMs));
    const id = event.token.slice("relay:".length);
    const peer = state.control.views.valueSeq().flatMap(view => view.members).find(member =>
        member.id === id
    );
    if (peer === undefined) return step(state);
    return step(state, ask(`relay-state:${id}`, peer, { type: "control.state" }));
}

/**
 * Takes a peer's state when it has read further. Only what the peer has replayed itself stands for a read of the
 * log up to its offset; versions that were passed on to it may belong to later records.
 */
function adoptState(
    state: NodeState,
    peer: Extract<PeerResponse, { readonly type: "control.state"; }>,
): NodeState {
    const { control, logReader } = state;
    if (peer.isReplayed !== true || logReader.bootstrap !== undefined) return state;
    if (peer.offset <= control.offset) return state;
    const replica = { config: peer.config, views: control.views.clear().merge(peer.views) };
    return { ...state, control: putInForce({ ...control, offset: peer.offset }, replica) };
}
