/**
 * SWIM failure detection. Each period, a node probes one random member, directly and then through other
 * members. A member that does not acknowledge becomes a suspect, and is declared dead unless it refutes the
 * suspicion in time.
 */
import type { Effect } from "./effects.ts";
import type { EventOf, EventStamp } from "./events.ts";
import {
    mergeUpdates,
    ownUpdate,
    refutableUpdateOf,
    selectUpdates,
    setStatus,
    suspicionMs,
    updateOf,
} from "./gossip.ts";
import type { MembershipState, Probe } from "./membership.ts";
import { createEntry } from "./membership.ts";
import { syncMembers } from "./memberSync.ts";
import type { MemberUpdate, PeerDatagram } from "./peerMessages.ts";
import { pickOne, sampleDistinct } from "./random.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, step } from "./state.ts";
import type { Member } from "./types.ts";
import { assertNever, formatAddress } from "./types.ts";

const PROBE_PERIOD_MS = 1_000;
const INDIRECT_PROBE_DELAY_MS = 300;
const INDIRECT_PROBES = 3;
/** A wake that is late by more than this shows that the process was paused, so missing acks prove nothing. */
const PAUSE_THRESHOLD_MS = 1_000;
const MAX_RELAYED_PROBES = 64;
/** Bound on probes of suspects and disputed members per period. */
const MAX_EXTRA_PROBES_PER_PERIOD = 3;
const FINAL_PROBE_WINDOW_MS = 2 * PROBE_PERIOD_MS;

/** Sends the probes that are due, ends suspicions, exchanges member lists, and schedules the next wake. */
export function onMembershipWake(state: NodeState, stamp: EventStamp): Step {
    const { now } = stamp;
    const { periodAt, dueAt } = state.members;
    if (periodAt === undefined) {
        // A random phase spreads the probes of nodes that start at the same time.
        const started = { ...state.members, periodAt: now + stamp.rand * PROBE_PERIOD_MS };
        return scheduleNext({ ...state, members: started });
    }
    const isLate = dueAt !== undefined && now - dueAt > PAUSE_THRESHOLD_MS;
    let result = step(isLate ? discardProbeResults(state, now) : state);
    result = andThen(result, next => sendIndirectProbes(next, stamp));
    result = andThen(result, next => expireSuspicions(next, now));
    if (now >= periodAt) {
        result = andThen(result, next => endProbe(next, now));
        result = andThen(result, next => startProbe(next, stamp));
        result = andThen(result, next => sendExtraProbes(next, now));
        result = andThen(result, next => syncMembers(next, stamp));
    }
    return andThen(result, scheduleNext);
}

function scheduleNext(state: NodeState): Step {
    const { periodAt = 0, probe, suspects } = state.members;
    const indirectAt = probe !== undefined && !probe.acked && !probe.indirectSent
        ? probe.indirectAt
        : Infinity;
    const dueAt = Math.min(periodAt, indirectAt, ...suspects.values());
    return step({ ...state, members: { ...state.members, dueAt } }, { type: "wake_at", at: dueAt });
}

/** Discards the current probe and restarts all suspicions. */
function discardProbeResults(state: NodeState, now: number): NodeState {
    const until = now + suspicionMs(state.members.entries.size + 1);
    const suspects = state.members.suspects.map(() => until);
    return { ...state, members: { ...state.members, probe: undefined, suspects } };
}

function sendIndirectProbes(state: NodeState, stamp: EventStamp): Step {
    const { probe } = state.members;
    if (probe === undefined || probe.acked || probe.indirectSent || stamp.now < probe.indirectAt) {
        return step(state);
    }
    const others = probeCandidates(state).filter(member => member.id !== probe.member.id);
    const helpers = sampleDistinct(others, INDIRECT_PROBES, stamp.rand);
    const updated = withMembers(state, { ...state.members, probe: { ...probe, indirectSent: true } });
    return helpers.reduce(
        (result, helper) =>
            andThen(
                result,
                next => send(next, helper, { type: "swim.pingReq", seq: probe.seq, target: probe.member }),
            ),
        step(updated),
    );
}

function expireSuspicions(state: NodeState, now: number): Step {
    let result = step(state);
    for (const [id, until] of state.members.suspects) {
        if (until > now) continue;
        result = andThen(result, next => {
            const entry = next.members.entries.get(id);
            if (entry === undefined) return step(next);
            return setStatus(next, entry, { ...updateOf(entry), status: "dead" }, { source: "gossip", now });
        });
    }
    return result;
}

function endProbe(state: NodeState, now: number): Step {
    const { probe, hasReceivedAck } = state.members;
    // Until this node has received an ack, missing acks may be due to its own network.
    if (probe === undefined || probe.acked || !hasReceivedAck) return step(state);
    const entry = state.members.entries.get(probe.member.id);
    if (entry === undefined || entry.status === "suspect" || entry.status === "dead") return step(state);
    return setStatus(state, entry, { ...updateOf(entry), status: "suspect" }, { source: "gossip", now });
}

function startProbe(state: NodeState, stamp: EventStamp): Step {
    const { members } = state;
    const member = pickOne(probeCandidates(state), stamp.rand);
    const probe: Probe | undefined = member === undefined ? undefined : {
        seq: members.seq,
        member,
        indirectAt: stamp.now + INDIRECT_PROBE_DELAY_MS,
        indirectSent: false,
        acked: false,
    };
    const periodAt = Math.max((members.periodAt ?? 0) + PROBE_PERIOD_MS, stamp.now + PROBE_PERIOD_MS / 2);
    // Drops relays by age in sequence numbers. Acks arrive within a period, in which a node normally sends few probes.
    const relays = members.relays.filter((_, seq) => seq >= members.seq - MAX_RELAYED_PROBES);
    const started = withMembers(state, { ...members, probe, periodAt, relays, seq: members.seq + 1 });
    return probe === undefined
        ? step(started)
        : send(started, probe.member, { type: "swim.ping", seq: probe.seq });
}

/**
 * Probes suspects shortly before they would be declared dead, so that a single lost message does not lead to that.
 * The remaining probes of the period go to disputed members, which this node considers dead, but a peer lists as alive
 * or draining. The first `MAX_EXTRA_PROBES_PER_PERIOD` of them leave `disputed` in each period, even if no probe was
 * left for them. A later list from a peer can add them again.
 */
function sendExtraProbes(state: NodeState, now: number): Step {
    const { disputed, entries, suspects } = state.members;
    const expiring = [...suspects].filter(([, until]) => until <= now + FINAL_PROBE_WINDOW_MS).map(([id]) =>
        id
    );
    const updated = withMembers(state, {
        ...state.members,
        disputed: disputed.slice(MAX_EXTRA_PROBES_PER_PERIOD),
    });
    return [...expiring, ...disputed].slice(0, MAX_EXTRA_PROBES_PER_PERIOD).reduce(
        (result, id) => andThen(result, next => sendExtraProbe(next, entries.get(id)?.member)),
        step(updated),
    );
}

/** Sends an additional probe. An ack shows that the member is alive; a missing ack has no consequences. */
export function sendExtraProbe(state: NodeState, member: Member | undefined): Step {
    if (member === undefined) return step(state);
    const { seq } = state.members;
    const next = withMembers(state, { ...state.members, seq: seq + 1 });
    return send(next, member, { type: "swim.ping", seq });
}

function probeCandidates(state: NodeState): readonly Member[] {
    const others: Member[] = [];
    for (const { member, status } of state.members.entries.values()) {
        if (status !== "dead") others.push(member);
    }
    return others;
}

export function onDatagram(state: NodeState, event: EventOf<"datagram_received">): Step {
    const { datagram, now } = event;
    const { sender } = datagram;
    if (sender.id === state.self.id || formatAddress(sender.address) === formatAddress(state.self.address)) {
        return step(state);
    }
    const refutableUpdate = refutableUpdateOf(state, sender.id);
    const counted: Effect = { type: "count", counter: "control_messages", label: datagram.type };
    let result = andThen(step(state, counted), next => updateSender(next, datagram, now));
    result = andThen(result, next => mergeUpdates(next, datagram.updates, { source: "gossip", now }));
    return andThen(result, next => respond(next, datagram, refutableUpdate));
}

/**
 * Updates the entry of a message's sender. Only an ack shows that the link works in both directions, so other
 * messages from a suspect do not end the suspicion. Instead, the ack that this node sends for the suspect's ping
 * tells the suspect of the suspicion, which it then refutes.
 */
function updateSender(state: NodeState, datagram: PeerDatagram, now: number): Step {
    const { sender, refutation = 0, draining = false } = datagram;
    const entry = state.members.entries.get(sender.id);
    const update: MemberUpdate = { member: sender, status: draining ? "draining" : "alive", refutation };
    if (entry === undefined) {
        return setStatus(state, createEntry(sender, now), update, { source: "gossip", now });
    }
    const isSuspectOrDead = entry.status === "dead" || entry.status === "suspect";
    if (refutation > entry.refutation || (draining && !entry.draining && !isSuspectOrDead)) {
        return setStatus(state, entry, update, { source: "gossip", now });
    }
    if (!isSuspectOrDead || datagram.type !== "swim.ack") return step(state);
    return setStatus(state, entry, { ...update, refutation: entry.refutation }, { source: "gossip", now });
}

function respond(state: NodeState, datagram: PeerDatagram, refutableUpdate: MemberUpdate | undefined): Step {
    switch (datagram.type) {
        case "swim.ping":
            return send(state, datagram.sender, { type: "swim.ack", seq: datagram.seq }, refutableUpdate);
        case "swim.pingReq":
            return relayProbe(state, datagram);
        case "swim.ack":
            return onAck(withMembers(state, { ...state.members, hasReceivedAck: true }), datagram);
        default:
            return assertNever(datagram);
    }
}

function relayProbe(state: NodeState, datagram: PeerDatagram & { readonly type: "swim.pingReq"; }): Step {
    const { members } = state;
    if (members.relays.size >= MAX_RELAYED_PROBES) {
        return step(state, { type: "count", counter: "bad_messages", label: "relay-limit" });
    }
    const relay = {
        memberId: datagram.target.id,
        requester: datagram.sender,
        requesterSeq: datagram.seq,
    };
    const relays = members.relays.set(members.seq, relay);
    return sendExtraProbe(withMembers(state, { ...members, relays }), datagram.target);
}

function onAck(state: NodeState, datagram: PeerDatagram): Step {
    const { members } = state;
    const { probe } = members;
    const { sender, seq } = datagram;
    const relay = members.relays.get(seq);
    if (relay !== undefined) {
        const updated = withMembers(state, { ...members, relays: members.relays.delete(seq) });
        if (sender.id !== relay.memberId) return step(updated);
        return send(updated, relay.requester, { type: "swim.ack", seq: relay.requesterSeq });
    }
    if (probe?.seq !== seq) return step(state);
    // An ack from a new incarnation at the member's address also counts, because the probed one has been superseded.
    return step(withMembers(state, { ...members, probe: { ...probe, acked: true } }));
}

type Message =
    | { readonly type: "swim.ping" | "swim.ack"; readonly seq: number; }
    | { readonly type: "swim.pingReq"; readonly seq: number; readonly target: Member; };

function send(state: NodeState, to: Member, message: Message, refutableUpdate?: MemberUpdate): Step {
    const { members, updates } = selectUpdates(state, to, refutableUpdate);
    const { config, offset } = state.control;
    const { status, refutation } = ownUpdate(state);
    const base = {
        sender: state.self,
        summary: { configNumber: config?.number ?? 0, configId: config?.id, logOffset: offset },
        updates,
        refutation,
        ...(status === "draining" ? { draining: true } : {}),
    };
    return step(withMembers(state, members), {
        type: "send_datagram",
        to: to.address,
        datagram: { ...message, ...base },
    });
}

function withMembers(state: NodeState, members: MembershipState): NodeState {
    return { ...state, members };
}
