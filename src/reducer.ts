/** The node's state machine: a pure function from a state and an event to the next state and the effects. */
import { expireCalls, onAttemptAnswered, onAttemptClosed, onCallCancelled, onCallStarted } from "./calls.ts";
import { writeCheckpoint } from "./checkpointWriter.ts";
import { onCrashReport, recordCrash } from "./crashes.ts";
import { exitWhenDrained, onDrainRequested, onDrainWake, recordSender } from "./drain.ts";
import type { EventOf, NodeEvent } from "./events.ts";
import { onHandoverRequest, onHandoverResponse } from "./handover.ts";
import { createPromiseResponse, createReadReport, onLeaseResponse } from "./leases.ts";
import { onAppendEnded, onLogRead, onLogReadFailed, onLogTruncated, startNextRead } from "./logReader.ts";
import { onSyncRequest, onSyncResponse } from "./memberSync.ts";
import { withOwnership } from "./ownership.ts";
import { maintainOwnership } from "./ownershipMaintenance.ts";
import type { PeerResponse } from "./peerMessages.ts";
import { expireRuns, onRunAnswered, onRunCancelled, onRunEnded, onRunStarted } from "./runs.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, step } from "./state.ts";
import { createStateResponse, fetchForBootstrap, onPeerSummary, onStateResponse } from "./stateFetch.ts";
import { onDatagram, onMembershipWake } from "./swim.ts";
import { assertNever } from "./types.ts";
import { backChange, onBackResponse } from "./viewChanges.ts";

export function reduce(state: NodeState, event: NodeEvent): Step {
    return andThen(
        andThen(reduceEvent(state, event), next => maintainOwnership(next, event)),
        next => exitWhenDrained(next, event),
    );
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
            return onRunStarted(recordSender(state, event.ctx.sender, event.now), event);
        case "run_answered":
            return onRunAnswered(state, event);
        case "run_ended":
            return onRunEnded(state, event);
        case "run_cancelled":
            return onRunCancelled(state, event);
        case "target_announced":
            return onTargetAnnounced(state, event);
        case "target_lost":
            return onTargetLost(state, event);
        case "drain_requested":
            // The start is recorded as `leavingSince` for the leave of the view, and by drain.ts for the exit.
            return onDrainRequested(
                withOwnership(state, { leavingSince: state.ownership.leavingSince ?? event.now }),
                event,
            );
        case "log_read":
            return onLogRead(state, event);
        case "log_truncated":
            return onLogTruncated(state, event);
        case "log_read_failed":
            return onLogReadFailed(state, event);
        case "append_ended":
            return onAppendEnded(state, event);
        case "datagram_received":
            return andThen(
                onDatagram(recordDatagramSender(state, event), event),
                next => onPeerSummary(next, event),
            );
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
    return step({ ...state, target });
}

function onTargetLost(state: NodeState, event: EventOf<"target_lost">): Step {
    if (state.target === undefined || state.target.lost) return step(state);
    return recordCrash({ ...state, target: { ...state.target, lost: true } }, event.now);
}

function onWake(state: NodeState, event: EventOf<"wake">): Step {
    let result = expireCalls(state, event);
    result = andThen(result, next => expireRuns(next, event));
    result = andThen(result, next => onMembershipWake(next, event));
    result = andThen(result, next => onDrainWake(next, event));
    result = andThen(result, next => writeCheckpoint(next, event));
    result = andThen(result, next => fetchForBootstrap(next, event));
    return andThen(result, next => startNextRead(next, event));
}

function onRpcEnded(state: NodeState, event: EventOf<"rpc_ended">): Step {
    const afterBack = onBackResponse(state, event);
    const afterLease = andThen(afterBack, next => onLeaseResponse(next, event));
    const afterHandover = andThen(afterLease, next => onHandoverResponse(next, event));
    const afterSync = andThen(afterHandover, next => onSyncResponse(next, event));
    return andThen(afterSync, next => onStateResponse(next, event));
}

function recordDatagramSender(state: NodeState, event: EventOf<"datagram_received">): NodeState {
    const { sender, type } = event.datagram;
    return recordSender(state, sender.id, event.now, type === "swim.ack");
}

function onRpcReceived(state: NodeState, event: EventOf<"rpc_received">): Step {
    const { state: next, response } = handleRpc(state, event);
    return step(next, { type: "answer_rpc", token: event.token, response });
}

interface RpcResult {
    readonly state: NodeState;
    readonly response: PeerResponse;
}

function handleRpc(state: NodeState, event: EventOf<"rpc_received">): RpcResult {
    const { request, now } = event;
    switch (request.type) {
        case "view.back": {
            const backed = backChange(state, request);
            return { state: backed.state, response: { type: "view.back", backers: backed.backers } };
        }
        case "records.handover": {
            const { state: next, accepted } = onHandoverRequest(state, request, now);
            return { state: next, response: { type: "records.handover", accepted } };
        }
        case "crashes.report":
            return { state: onCrashReport(state, request, now), response: { type: "crashes.report" } };
        case "view.promise":
            return { state, response: createPromiseResponse(state, request.service, request.version) };
        case "view.relay":
            return { state, response: createReadReport(state, now) };
        case "swim.sync":
            return onSyncRequest(state, request, now);
        case "control.state":
            return { state, response: createStateResponse(state, request) };
        default:
            return assertNever(request);
    }
}
