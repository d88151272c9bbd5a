/**
 * Fetching of control state from peers. The summary in each SWIM datagram shows which node is ahead, and a node that
 * is behind fetches the sender's state. The fetched state becomes effective, but does not count as a read of
 * the log: the node still replays every record, and a fetch renews no lease. Only when records that the node
 * needs have expired from the log does it start from a peer's replayed state. Separately, a node that renews its lease
 * while the log is unreadable may replace its replayed state by a peer's (`adoptPeerState` in leases.ts).
 */
import { Map } from "immutable";
import { startFrom } from "./checkpoints.ts";
import { configNumberOf, createControlState, mergePeerReplica } from "./controlLog.ts";
import type { EventOf, EventStamp } from "./events.ts";
import { isLogUnavailable, withReader } from "./logReader.ts";
import { addViewMembers } from "./membership.ts";
import type { PeerRequest, PeerResponse } from "./peerMessages.ts";
import { pickOne } from "./random.ts";
import type { NodeState, Step } from "./state.ts";
import { step } from "./state.ts";
import type { Address } from "./types.ts";

const FETCH_TIMEOUT_MS = 2_000;
const FETCH_PERIOD_MS = 1_000;
/** Views may be large, and are less urgent than the configuration while the log is unavailable. */
const VIEWS_FETCH_PERIOD_MS = 10_000;
/** A node that reads the log lags behind others by one long poll at most; it fetches after a longer lag. */
const MAX_LOG_LAG_MS = 3_000;
const TOKEN = "state:";

type StateRequest = Extract<PeerRequest, { readonly type: "control.state"; }>;
type StateResponse = Extract<PeerResponse, { readonly type: "control.state"; }>;

export interface StateFetchState {
    /** No fetch is sent before this time. */
    readonly fetchAt: number;
    /** No fetch that is due to newer views alone is sent before this time. */
    readonly viewsAt: number;
    /** When this node first noticed that a peer has a higher configuration version. */
    readonly behindSince?: number | undefined;
}

export function createStateFetchState(): StateFetchState {
    return { fetchAt: 0, viewsAt: 0 };
}

export function onPeerSummary(state: NodeState, event: EventOf<"datagram_received">): Step {
    const { now, datagram: { sender, summary } } = event;
    const isUnavailable = isLogUnavailable(state, now);
    if (summary.configNumber > configNumberOf(state.control)) {
        const behindSince = state.stateFetch.behindSince ?? now;
        const updated = withFetch(state, { behindSince });
        const isDue = isUnavailable || now - behindSince >= MAX_LOG_LAG_MS;
        return isDue ? fetchState(updated, sender.address, event, !isUnavailable) : step(updated);
    }
    const shouldFetchViews = isUnavailable && summary.logOffset > state.control.offset
        && now >= state.stateFetch.viewsAt;
    if (shouldFetchViews) return fetchState(state, sender.address, event, false);
    return step(state);
}

function fetchState(state: NodeState, to: Address, stamp: EventStamp, configOnly: boolean): Step {
    if (stamp.now < state.stateFetch.fetchAt) return step(state);
    return step(
        withFetch(state, {
            fetchAt: stamp.now + FETCH_PERIOD_MS,
            viewsAt: configOnly ? state.stateFetch.viewsAt : stamp.now + VIEWS_FETCH_PERIOD_MS,
        }),
        {
            type: "send_rpc",
            token: TOKEN,
            to,
            request: { type: "control.state", ...(configOnly ? { configOnly } : {}) },
            timeoutMs: FETCH_TIMEOUT_MS,
        },
    );
}

/** On each wake, asks a random peer for its state if the log has none that the reader can start from. */
export function fetchForBootstrap(state: NodeState, stamp: EventStamp): Step {
    const { bootstrap } = state.logReader;
    if (bootstrap === undefined || bootstrap.replay !== undefined) return step(state);
    const peers = state.members.entries.valueSeq().filter(({ status }) => status !== "dead").toArray();
    const peer = pickOne(peers, stamp.rand);
    const to = peer?.member.address ?? pickOne(state.joinAddresses, stamp.rand);
    return to === undefined ? step(state) : fetchState(state, to, stamp, false);
}

export function createStateResponse(state: NodeState, request: StateRequest): StateResponse {
    const { offset, config, views, replayed } = state.control;
    const isReplayed = replayed === undefined && state.logReader.bootstrap === undefined;
    return {
        type: "control.state",
        offset,
        config,
        views: request.configOnly === true ? {} : views.toObject(),
        ...(isReplayed && request.configOnly !== true ? { isReplayed } : {}),
    };
}

export function onStateResponse(state: NodeState, event: EventOf<"rpc_ended">): Step {
    const { response, token, now } = event;
    if (response?.type !== "control.state" || token !== TOKEN) return step(state);
    const received = { config: response.config, views: Map(response.views) };
    const isUnavailable = isLogUnavailable(state, now);
    const views = isUnavailable ? received.views : Map<string, never>();
    const control = mergePeerReplica(state.control, { config: received.config, views });
    const next = withFetch({ ...state, control }, { behindSince: undefined });
    return step(addViewMembers(startFromPeerState(next, response), now));
}

function startFromPeerState(state: NodeState, response: StateResponse): NodeState {
    const { bootstrap } = state.logReader;
    if (bootstrap === undefined || response.isReplayed !== true) return state;
    if (configNumberOf(response) < configNumberOf(state.control)) return state;
    const peer = {
        ...createControlState(),
        offset: response.offset,
        config: response.config,
        views: Map(response.views),
    };
    return withReader(state, { bootstrap: startFrom(bootstrap, peer) });
}

function withFetch(state: NodeState, changes: Partial<StateFetchState>): NodeState {
    return { ...state, stateFetch: { ...state.stateFetch, ...changes } };
}
