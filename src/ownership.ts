/** Who may run a key of a non-idempotent kind. */
import { createHash } from "node:crypto";
import { hasMajority } from "./controlLog.ts";
import type { EventOf, EventStamp } from "./events.ts";
import { append } from "./logReader.ts";
import type { ViewRecord } from "./logRecords.ts";
import type { NodeState, Step } from "./state.ts";
import { step } from "./state.ts";
import type { Member, View } from "./types.ts";

/** A proof is good for this long after its question was sent. */
export const PROOF_LIFETIME_MS = 6_000;

export interface OwnershipState {
    /** When the question was sent whose answer last showed the view; undefined for never. */
    readonly provenAt?: number | undefined;
    /** The view change that this node is collecting backers for. */
    readonly proposal?: Proposal | undefined;
}

export interface Proposal {
    readonly record: ViewRecord;
    readonly expiresAt: number;
    readonly appended: boolean;
}

export function createOwnershipState(): OwnershipState {
    return {};
}

/** The member of a view that alone may run a key: rendezvous hashing. */
export function ownerOf(view: View, key: string): Member | undefined {
    let best: Member | undefined;
    let bestScore = "";
    for (const member of view.members) {
        const score = createHash("sha256").update(member.id).update("\0").update(key).digest("hex");
        if (best === undefined || score > bestScore) {
            best = member;
            bestScore = score;
        }
    }
    return best;
}

export type OwnerCheck =
    | { readonly type: "owner"; readonly startBefore: number; }
    | { readonly type: "refuse"; readonly reason: "not-owner" | "no-proof"; };

/** Whether this node may run a key now. */
export function checkOwner(state: NodeState, key: string, now: number): OwnerCheck {
    const view = state.control.views.get(state.self.service);
    if (view === undefined || ownerOf(view, key)?.id !== state.self.id) {
        return { type: "refuse", reason: "not-owner" };
    }
    const provenAt = state.ownership.provenAt;
    if (provenAt === undefined || now >= provenAt + PROOF_LIFETIME_MS) {
        return { type: "refuse", reason: "no-proof" };
    }
    return { type: "owner", startBefore: provenAt + PROOF_LIFETIME_MS };
}

const PROPOSAL_LIFETIME_MS = 1_000;
const VOTER_LIMIT = 7;
const BACK_TIMEOUT_MS = 500;

/** Proposes this node's join once its target has announced itself and the log can be read. */
export function proposeJoin(state: NodeState, stamp: EventStamp): Step {
    const { self, target, control, ownership, draining } = state;
    const view = control.views.get(self.service);
    const isMember = view?.members.some(member => member.id === self.id) ?? false;
    if (target === undefined || draining || isMember || ownership.provenAt === undefined) return step(state);
    if (ownership.proposal !== undefined && ownership.proposal.expiresAt > stamp.now) return step(state);
    const record: ViewRecord = {
        type: "view",
        id: `${self.id}:${Math.floor(stamp.now)}`,
        service: self.service,
        baseVersion: view?.version ?? 0,
        change: "join",
        members: [self],
        voters: [self, ...view?.members ?? []].slice(0, VOTER_LIMIT),
        backers: [],
    };
    return propose(state, record, stamp);
}

/** Proposes this node's leave from its view; no effect without a view, the log or a majority. */
export function proposeLeave(state: NodeState, stamp: EventStamp): Step {
    const { self, control, ownership } = state;
    const view = control.views.get(self.service);
    if (view === undefined || ownership.provenAt === undefined) return step(state);
    if (!view.members.some(member => member.id === self.id)) return step(state);
    if (ownership.proposal !== undefined && ownership.proposal.expiresAt > stamp.now) return step(state);
    const record: ViewRecord = {
        type: "view",
        id: `${self.id}:${Math.floor(stamp.now)}`,
        service: self.service,
        baseVersion: view.version,
        change: "leave",
        members: [self],
        voters: view.members.filter(member => member.id !== self.id).slice(0, VOTER_LIMIT),
        backers: [],
    };
    return propose(state, record, stamp);
}

function propose(state: NodeState, record: ViewRecord, stamp: EventStamp): Step {
    const { ownership } = state;
    const view = state.control.views.get(record.service);
    const expiresAt = stamp.now + PROPOSAL_LIFETIME_MS;
    const proposed = {
        ...state,
        ownership: { ...ownership, proposal: { record, expiresAt, appended: false } },
    };
    if (view === undefined || view.voters.length === 0) return appendProposal(proposed, record);
    return step(
        proposed,
        { type: "wake_at", at: expiresAt },
        ...view.voters.map(voter => ({
            type: "send_rpc" as const,
            token: `back:${record.id}`,
            to: voter.address,
            timeoutMs: BACK_TIMEOUT_MS,
            request: {
                type: "view.back" as const,
                service: record.service,
                baseVersion: record.baseVersion,
                change: record.change,
                members: record.members,
            },
        })),
    );
}

function appendProposal(state: NodeState, record: ViewRecord): Step {
    const proposal = state.ownership.proposal;
    if (proposal === undefined) return step(state);
    return append({
        ...state,
        ownership: { ...state.ownership, proposal: { ...proposal, record, appended: true } },
    }, record);
}

/** Counts a backer; appends the change when a majority of the voters backs it. */
export function onBacked(state: NodeState, event: EventOf<"rpc_ended">): Step {
    const proposal = state.ownership.proposal;
    if (event.response?.type !== "view.back" || proposal === undefined || proposal.appended) {
        return step(state);
    }
    if (event.token !== `back:${proposal.record.id}`) return step(state);
    const backers = [...new Set([...proposal.record.backers, ...event.response.backers])];
    const record = { ...proposal.record, backers };
    const view = state.control.views.get(record.service);
    if (view !== undefined && hasMajority(view, backers)) return appendProposal(state, record);
    return step({ ...state, ownership: { ...state.ownership, proposal: { ...proposal, record } } });
}
