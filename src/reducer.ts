/** The behaviour of a node: one pure function from a state and an event to the next state and effects. */
import { expireCalls, onAttemptAnswered, onAttemptClosed, onCallCancelled, onCallStarted } from "./calls.ts";
import type { EventOf, NodeEvent } from "./events.ts";
import { onAppendEnded, onLogFailed, onLogGone, onLogRead, readOn } from "./logReader.ts";
import { onBacked, proposeJoin } from "./ownership.ts";
import type { PeerResponse } from "./peerMessages.ts";
import { expireRuns, onRunAnswered, onRunCancelled, onRunEnded, onRunStarted } from "./runs.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, step } from "./state.ts";
import { assertNever } from "./types.ts";

export function reduce(state: NodeState, event: NodeEvent): Step {
    return andThen(reduceEvent(state, event), exitWhenDrained);
}

function reduceEvent(state: NodeState, event: NodeEvent): Step {
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
            return onRunStarted(state, event);
        case "run_answered":
            return onRunAnswered(state, event);
        case "run_ended":
            return onRunEnded(state, event);
        case "run_cancelled":
            return onRunCancelled(state, event);
        case "target_announced":
            return onTargetAnnounced(state, event);
        case "target_lost":
            return onTargetLost(state);
        case "drain_requested":
            return step({ ...state, draining: true });
        case "log_read":
            return andThen(onLogRead(state, event), next => proposeJoin(next, event));
        case "log_gone":
            return onLogGone(state, event);
        case "log_failed":
            return onLogFailed(state, event);
        case "append_ended":
            return onAppendEnded(state, event);
        case "datagram_received":
            return step(state);
        case "rpc_received":
            return onRpcReceived(state, event);
        case "rpc_ended":
            return onBacked(state, event);
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
    return andThen(result, next => readOn(next, event));
}

function exitWhenDrained(state: NodeState): Step {
    const idle = state.runs.runs.isEmpty() && state.calls.calls.isEmpty();
    return state.draining && idle ? step(state, { type: "exit" }) : step(state);
}

function onRpcReceived(state: NodeState, event: EventOf<"rpc_received">): Step {
    return step(state, { type: "answer_rpc", token: event.token, response: answerRpc(state, event) });
}

function answerRpc(state: NodeState, event: EventOf<"rpc_received">): PeerResponse {
    const { request } = event;
    switch (request.type) {
        case "swim.sync":
            return { type: "swim.sync", updates: [] };
        case "control.state":
            return {
                type: "control.state",
                offset: state.control.offset,
                config: state.control.config,
                views: state.control.views.toObject(),
            };
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
