/** Runs that wait for a key, calls that wait for their node's view, and the ownership work of every step. */
import { sendAttempt } from "./calls.ts";
import type { Call } from "./calls.ts";
import type { EventStamp, NodeEvent } from "./events.ts";
import { applyViewChange, sendHandovers } from "./handover.ts";
import { ownerOf } from "./keys.ts";
import { requestLease } from "./leases.ts";
import { withOwnership } from "./ownership.ts";
import { expireKeys } from "./records.ts";
import { resumeParkedRun } from "./runs.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, step } from "./state.ts";
import type { NotRun } from "./types.ts";
import { isMember, proposeChange } from "./viewChanges.ts";

/** Period of the ownership's own work; proofs, proposals and handovers need no finer one. */
const OWNERSHIP_TICK_MS = 250;
/** A view change reaches all readers of the log within a few milliseconds of each other. */
const VIEW_WAIT_MS = 25;
/** A leaving node takes requests for its keys, which no other node may run, until the leave is in the log. */
const LEAVE_GRACE_MS = 1_500;
/** A node that has left answers for this long, since other nodes may read of the leave a little later. */
const LEFT_NODE_LINGER_MS = 500;
/** A leave that finds no majority holds the process up for no longer than this. */
const MAX_LEAVE_MS = 5_000;

/** Follows up on an event: changed views, handovers, proposals, and what waits for them. */
export function maintainOwnership(state: NodeState, event: NodeEvent): Step {
    let result = step(applyViewChange(state, event.now));
    const { type } = event;
    const isTick = type === "wake" || type === "log_read" || type === "target_announced"
        || type === "drain_requested";
    if (isTick) {
        result = andThen(result, next => proposeChange(next, event));
        result = andThen(result, next => requestLease(next, event));
    }
    result = andThen(result, next => sendHandovers(next, event));
    if (isTick || type === "rpc_received" || type === "run_ended") {
        result = andThen(result, next => resumeParkedRuns(next, event, type === "wake"));
    }
    if (isTick) result = andThen(result, next => resumeWaitingCalls(next, event));
    if (type !== "wake") return result;
    return scheduleTick({ ...result, state: expireKeys(result.state, event.now) }, event.now);
}

/**
 * Asks for the next tick once the last one is over. A request on every wake would start another series of ticks
 * for each wake that was asked for elsewhere, up to one for each 10 ms.
 */
function scheduleTick(result: Step, now: number): Step {
    const { nextTickAt = -Infinity } = result.state.ownership;
    if (now < nextTickAt) return result;
    const next = withOwnership(result.state, { nextTickAt: now + OWNERSHIP_TICK_MS });
    return step(next, ...result.effects, { type: "wake_at", at: now + OWNERSHIP_TICK_MS });
}

/** Looks again at the runs that wait for a key. */
function resumeParkedRuns(state: NodeState, stamp: EventStamp, onlyDue: boolean): Step {
    let result = step(state);
    for (const [id, until] of state.ownership.parked) {
        if (onlyDue && until > stamp.now) continue;
        result = andThen(result, next => resumeParkedRun(next, id, stamp));
    }
    return result;
}

/** Whether a refusal means that this node and the owner of a key have read different views. */
export function isViewMismatch(state: NodeState, call: Call, outcome: NotRun): boolean {
    if (outcome.reason !== "not-owner" && outcome.reason !== "draining") return false;
    const view = state.control.views.get(call.service);
    if (call.key === undefined || view === undefined) return false;
    return call.tried.at(-1) === ownerOf(view, call.key)?.id;
}

/** Sends the next attempt of a call once this node may have read the change that the refusal is about. */
export function waitForView(state: NodeState, call: Call, stamp: EventStamp): Step {
    const at = stamp.now + VIEW_WAIT_MS;
    const waitingCalls = state.ownership.waitingCalls.set(call.id, at);
    return step(withOwnership(state, { waitingCalls }), { type: "wake_at", at });
}

function resumeWaitingCalls(state: NodeState, stamp: EventStamp): Step {
    let result = step(state);
    for (const [id, at] of state.ownership.waitingCalls) {
        if (at > stamp.now) continue;
        result = andThen(result, next => {
            const waitingCalls = next.ownership.waitingCalls.delete(id);
            const call = next.calls.calls.get(id);
            const cleared = withOwnership(next, { waitingCalls });
            if (call === undefined || call.attempt !== undefined) return step(cleared);
            return sendAttempt(cleared, call, stamp);
        });
    }
    return result;
}

/** Whether a leaving node still takes a request because only it may run its key. */
export function acceptsWhileLeaving(state: NodeState, key: string | undefined, now: number): boolean {
    const since = state.ownership.leavingSince;
    const view = state.control.views.get(state.self.service);
    if (key === undefined || since === undefined || view === undefined || now > since + LEAVE_GRACE_MS) {
        return false;
    }
    return ownerOf(view, key)?.id === state.self.id;
}

/** Whether a leaving node has nothing left to do for its keys. */
export function isLeaveComplete(state: NodeState, now: number): boolean {
    const { leavingSince, outgoingHandovers, viewAppliedAt } = state.ownership;
    if (leavingSince === undefined || now > leavingSince + MAX_LEAVE_MS) return true;
    if (isMember(state) || !outgoingHandovers.isEmpty()) return false;
    return viewAppliedAt === undefined || now > viewAppliedAt + LEFT_NODE_LINGER_MS;
}
