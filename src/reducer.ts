/** The behaviour of a node: one pure function from a state and an event to the next state and effects. */
import { expireCalls, onAttemptAnswered, onAttemptClosed, onCallCancelled, onCallStarted } from "./calls.ts";
import { writeCheckpoint } from "./checkpointWriter.ts";
import { exitWhenDone, noteSender, onDrainRequested, onDrainWake } from "./drain.ts";
import type { EventOf, NodeEvent } from "./events.ts";
import { onAppendEnded, onLogFailed, onLogGone, onLogRead, readOn } from "./logReader.ts";
import { answerSync, onSynced } from "./memberSync.ts";
import { onBacked, proposeJoin } from "./ownership.ts";
import type { PeerRequest, PeerResponse } from "./peerMessages.ts";
import { expireRuns, onRunAnswered, onRunCancelled, onRunEnded, onRunStarted } from "./runs.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, step } from "./state.ts";
import { answerState, fetchForGap, onPeerSummary, onStateFetched } from "./stateFetch.ts";
import { onDatagram, onMembershipWake } from "./swim.ts";
import { assertNever } from "./types.ts";

export function reduce(state: NodeState, event: NodeEvent): Step {
    switch (event.type) {
        case "call_started":
            return onCallStarted(state, event);
        case "attempt_answered":
            return onAttemptAnswered(state, event);
        case "attempt_closed":
            return onAttemptClosed(state, event);
        case "call_cancelled":
            return onCallCancelled(state, event);
        case "run_started":
            return onRunStarted(noteSender(state, event.ctx.sender, event.now), event);
        case "run_answered":
            return onRunAnswered(state, event);
        case "run_ended":
            return andThen(onRunEnded(state, event), next => exitWhenDone(next, event));
        case "run_cancelled":
            return onRunCancelled(state, event);
        case "target_announced":
            return onTargetAnnounced(state, event);
        case "target_lost":
            return onTargetLost(state);
        case "drain_requested":
            return onDrainRequested(state, event);
        case "log_read":
            return andThen(onLogRead(state, event), next => proposeJoin(next, event));
        case "log_gone":
            return onLogGone(state, event);
        case "log_failed":
            return onLogFailed(state, event);
        case "append_ended":
            return onAppendEnded(state, event);
        case "datagram_received":
            return andThen(onDatagram(noteDatagram(state, event), event), next => onPeerSummary(next, event));
        case "rpc_received":
            return onRpcReceived(state, event);
        case "rpc_ended":
            return onRpcEnded(state, event);
        case "wake":
            return onWake(state, event);
        default:
            return assertNever(event);
    }
}

function onTargetAnnounced(state: NodeState, event: EventOf<"target_announced">): Step {
    const target = { address: event.address, announcedAt: event.now, lost: false };
    return proposeJoin({ ...state, target }, event);
}

function onTargetLost(state: NodeState): Step {
    if (state.target === undefined) return step(state);
    return step({ ...state, target: { ...state.target, lost: true } });
}

function onWake(state: NodeState, event: EventOf<"wake">): Step {
    let result = expireCalls(state, event);
    result = andThen(result, next => expireRuns(next, event));
    result = andThen(result, next => proposeJoin(next, event));
    result = andThen(result, next => onMembershipWake(next, event));
    result = andThen(result, next => onDrainWake(next, event));
    result = andThen(result, next => writeCheckpoint(next, event));
    result = andThen(result, next => fetchForGap(next, event));
    return andThen(result, next => readOn(next, event));
}

function onRpcEnded(state: NodeState, event: EventOf<"rpc_ended">): Step {
    let result = onBacked(state, event);
    result = andThen(result, next => onSynced(next, event));
    return andThen(result, next => onStateFetched(next, event));
}

function noteDatagram(state: NodeState, event: EventOf<"datagram_received">): NodeState {
    const { sender, type } = event.datagram;
    return noteSender(state, sender.id, event.now, type === "swim.ack");
}

function onRpcReceived(state: NodeState, event: EventOf<"rpc_received">): Step {
    if (event.request.type === "swim.sync") {
        const { state: merged, response } = answerSync(state, event.request, event.now);
        return step(merged, { type: "answer_rpc", token: event.token, response });
    }
    return step(state, { type: "answer_rpc", token: event.token, response: answerRpc(state, event.request) });
}

function answerRpc(
    state: NodeState,
    request: Exclude<PeerRequest, { readonly type: "swim.sync"; }>,
): PeerResponse {
    switch (request.type) {
        case "control.state":
            return answerState(state, request);
        case "view.back":
            return { type: "view.back", backers: [state.self.id] };
        case "view.promise":
            return { type: "view.promise" };
        case "view.relay":
            return { type: "view.relay", offset: state.control.offset };
        case "records.handover":
            return { type: "records.handover", accepted: false };
        case "crashes.report":
            return { type: "crashes.report" };
        default:
            return assertNever(request);
    }
}
