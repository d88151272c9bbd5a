/**
 * Changes to service views. A node proposes a change (a join, a leave or the exclusion of dead members), asks
 * the voters of the current view to back it, and appends it to the log once a majority does.
 */
import { hasMajority } from "./controlLog.ts";
import type { EventOf, EventStamp } from "./events.ts";
import { isLogReadable } from "./leases.ts";
import { append } from "./logReader.ts";
import type { ViewRecord } from "./logRecords.ts";
import { withOwnership } from "./ownership.ts";
import type { PeerRequest } from "./peerMessages.ts";
import type { NodeState, Step } from "./state.ts";
import { step } from "./state.ts";
import type { Member, View } from "./types.ts";
import { formatAddress } from "./types.ts";
import { pickVoters } from "./voters.ts";

/** A proposal without a majority is dropped after this time. */
const BACKING_TIMEOUT_MS = 1_000;
/** A proposal that was appended but has not appeared in the log is dropped after this time. */
const APPEND_TIMEOUT_MS = 5_000;
const BACK_RPC_TIMEOUT_MS = 500;
/** Bound on the random delay after a proposal, so that of several racing proposers one comes first. */
const RETRY_JITTER_MS = 400;

export interface Proposal {
    readonly record: ViewRecord;
    readonly expiresAt: number;
    readonly appended: boolean;
}

type BackRequest = Extract<PeerRequest, { readonly type: "view.back"; }>;

/** Drops a proposal that has expired or is outdated, then proposes the view change that this node needs, if any. */
export function proposeChange(state: NodeState, stamp: EventStamp): Step {
    const current = endProposal(state, stamp);
    const { proposal, nextProposalAt } = current.ownership;
    if (proposal !== undefined || stamp.now < nextProposalAt || !isLogReadable(current, stamp.now)) {
        return step(current);
    }
    if (current.draining) return proposeLeave(current, stamp);
    if (!isMember(current)) return proposeJoin(current, stamp);
    return proposeExclude(current, stamp);
}

function endProposal(state: NodeState, stamp: EventStamp): NodeState {
    const { proposal } = state.ownership;
    if (proposal === undefined) return state;
    const version = viewOf(state, proposal.record.service)?.version ?? 0;
    if (version <= proposal.record.baseVersion && stamp.now < proposal.expiresAt) return state;
    const nextProposalAt = stamp.now + stamp.rand * RETRY_JITTER_MS;
    return withOwnership(state, { proposal: undefined, nextProposalAt });
}

/** Proposes this node's join once its target has announced itself. */
export function proposeJoin(state: NodeState, stamp: EventStamp): Step {
    if (state.target === undefined || state.target.lost || state.draining || isMember(state)) {
        return step(state);
    }
    return propose(state, "join", [state.self], stamp);
}

/** Proposes this node's leave. */
export function proposeLeave(state: NodeState, stamp: EventStamp): Step {
    if (!isMember(state) || state.ownership.proposal !== undefined) return step(state);
    if (!isLogReadable(state, stamp.now)) return step(state);
    return propose(state, "leave", [state.self], stamp);
}

/** Proposes to exclude all dead members at once. If only voters are dead, an exclusion of no member replaces them. */
function proposeExclude(state: NodeState, stamp: EventStamp): Step {
    const view = viewOf(state, state.self.service)!;
    const dead = view.members.filter(member => isDead(state, member));
    if (dead.length === 0 && !view.voters.some(voter => isDead(state, voter))) return step(state);
    return propose(state, "exclude", dead, stamp);
}

function propose(
    state: NodeState,
    change: ViewRecord["change"],
    members: readonly Member[],
    stamp: EventStamp,
): Step {
    const { service } = state.self;
    const view = viewOf(state, service);
    const record: ViewRecord = {
        type: "view",
        id: `${state.self.id}:${view?.version ?? 0}:${Math.floor(stamp.now)}`,
        service,
        baseVersion: view?.version ?? 0,
        change,
        members,
        voters: pickVoters(state, membersAfter(view, change, members)),
        backers: [],
    };
    const expiresAt = stamp.now + BACKING_TIMEOUT_MS;
    const proposal: Proposal = { record, expiresAt, appended: false };
    const proposed = withOwnership(state, { proposal });
    if (view === undefined || view.voters.length === 0) return appendProposal(proposed, record, stamp.now);
    const { baseVersion } = record;
    const request: BackRequest = { type: "view.back", service, baseVersion, change, members };
    const ownBacking = backChange(proposed, request);
    // Voters at one address are incarnations of one node, which responds for all of them, so it is asked once.
    const unaskedAddresses = new Set(view.voters.map(voter => formatAddress(voter.address)));
    unaskedAddresses.delete(formatAddress(state.self.address));
    const counted = countBackers(ownBacking.state, ownBacking.backers, stamp.now);
    if (counted.state.ownership.proposal?.appended === true) return counted;
    const voters = view.voters.filter(voter => unaskedAddresses.delete(formatAddress(voter.address)));
    return step(
        counted.state,
        { type: "wake_at", at: expiresAt },
        ...voters.map(voter => ({
            type: "send_rpc" as const,
            token: `back:${record.id}`,
            to: voter.address,
            timeoutMs: BACK_RPC_TIMEOUT_MS,
            request,
        })),
    );
}

function membersAfter(
    view: View | undefined,
    change: ViewRecord["change"],
    members: readonly Member[],
): readonly Member[] {
    const changed = new Set(members.map(member => member.id));
    const kept = (view?.members ?? []).filter(member => !changed.has(member.id));
    return change === "join" ? [...kept, ...members] : kept;
}

function appendProposal(state: NodeState, record: ViewRecord, now: number): Step {
    const proposal: Proposal = { record, appended: true, expiresAt: now + APPEND_TIMEOUT_MS };
    return append(withOwnership(state, { proposal }), record);
}

/** Handles the response of a voter to a request to back the proposal. */
export function onBackResponse(state: NodeState, event: EventOf<"rpc_ended">): Step {
    const { proposal } = state.ownership;
    if (event.response?.type !== "view.back" || event.token !== `back:${proposal?.record.id}`) {
        return step(state);
    }
    return countBackers(state, event.response.backers, event.now);
}

/** Adds backers to the proposal, and appends the change once a majority of the voters backs it. */
function countBackers(state: NodeState, backers: readonly string[], now: number): Step {
    const { proposal } = state.ownership;
    if (proposal === undefined || proposal.appended) return step(state);
    const record = { ...proposal.record, backers: [...new Set([...proposal.record.backers, ...backers])] };
    const view = viewOf(state, record.service);
    if (view?.version === record.baseVersion && hasMajority(view, record.backers)) {
        return appendProposal(state, record, now);
    }
    return step(withOwnership(state, { proposal: { ...proposal, record } }));
}

export interface BackResult {
    readonly state: NodeState;
    /**
     * Ids of this node and of earlier voters at its address; empty if this node does not back the change. The id of a
     * node that is no voter has no effect.
     */
    readonly backers: readonly string[];
}

/**
 * Backs a change for this voter and for earlier voters at its address, which this process has replaced. From
 * then on this voter does not make the promises that leases need (`createPromiseResponse`) for the base version or an
 * earlier one.
 */
export function backChange(state: NodeState, request: BackRequest): BackResult {
    const { service, baseVersion, change, members } = request;
    const view = viewOf(state, service);
    if ((view?.version ?? 0) > baseVersion) return { state, backers: [] };
    if (change === "exclude" && !members.every(member => isDead(state, member))) {
        return { state, backers: [] };
    }
    const address = formatAddress(state.self.address);
    const former = (view?.voters ?? []).filter(voter =>
        voter.id !== state.self.id && formatAddress(voter.address) === address
    );
    const newestVersion = Math.max(baseVersion, state.ownership.backedVersions.get(service) ?? -1);
    return {
        state: withOwnership(state, {
            backedVersions: state.ownership.backedVersions.set(service, newestVersion),
        }),
        backers: [state.self.id, ...former.map(voter => voter.id)],
    };
}

/**
 * Whether this node's failure detector considers a member dead, or the member is an earlier process at this
 * node's address.
 */
function isDead(state: NodeState, member: Member): boolean {
    if (member.id === state.self.id) return false;
    if (formatAddress(member.address) === formatAddress(state.self.address)) return true;
    return state.members.entries.get(member.id)?.status === "dead";
}

function viewOf(state: NodeState, service: string): View | undefined {
    return state.control.views.get(service);
}

export function isMember(state: NodeState): boolean {
    return viewOf(state, state.self.service)?.members.some(member => member.id === state.self.id) ?? false;
}
