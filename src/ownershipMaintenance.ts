/**
 * Periodic and follow-up work of ownership: applies view changes, proposes changes, renews the lease, sends
 * handovers, and resumes the runs and calls that wait for one of these.
 */
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

/** Period of the ownership work, short enough for leases, proposals and handovers. */
const OWNERSHIP_TICK_MS = 250;
/** Delay of an attempt that needs a newer view. All nodes read a view change within a few ms. */
const VIEW_WAIT_MS = 25;
/**
 * How long a leaving node still accepts requests for the keys that it owns, because no other node may run them before
 * the leave is in the log.
 */
const LEAVE_GRACE_MS = 1_500;
/** How long a node keeps running after it has left the view, because other nodes may read the leave later. */
const LEFT_NODE_LINGER_MS = 500;
/** Bound on how long a leave without a majority of the voters delays the exit of the process. */
const MAX_LEAVE_MS = 5_000;

/** Does the ownership work that follows from an event. Runs after the event's own reducer. */
export function maintainOwnership(state: NodeState, event: NodeEvent): Step {
    let result = step(applyViewChange(state, event.now));
    const { type } = event;
    const doesPeriodicWork = type === "wake" || type === "log_read" || type === "target_announced"
        || type === "drain_requested";
    if (doesPeriodicWork) {
        result = andThen(result, next => proposeChange(next, event));
        result = andThen(result, next => requestLease(next, event));
    }
    result = andThen(result, next => sendHandovers(next, event));
    if (doesPeriodicWork || type === "rpc_received" || type === "run_ended") {
        result = andThen(result, next => resumeParkedRuns(next, event, type === "wake"));
    }
    if (doesPeriodicWork) result = andThen(result, next => resumeWaitingCalls(next, event));
    if (type !== "wake") return result;
    return scheduleTick({ ...result, state: expireKeys(result.state, event.now) }, event.now);
}

/**
 * Schedules the next tick if the last one has passed. Other modules schedule `wake` events too. If every one of these
 * scheduled a tick, each would start a further series of ticks, up to one tick every 10 ms in total.
 */
function scheduleTick(result: Step, now: number): Step {
    const { nextTickAt = -Infinity } = result.state.ownership;
    if (now < nextTickAt) return result;
    const next = withOwnership(result.state, { nextTickAt: now + OWNERSHIP_TICK_MS });
    return step(next, ...result.effects, { type: "wake_at", at: now + OWNERSHIP_TICK_MS });
}

/** Checks the parked runs: all of them, or only those that are due. */
function resumeParkedRuns(state: NodeState, stamp: EventStamp, onlyDue: boolean): Step {
    let result = step(state);
    for (const [id, until] of state.ownership.parked) {
        if (onlyDue && until > stamp.now) continue;
        result = andThen(result, next => resumeParkedRun(next, id, stamp));
    }
    return result;
}

/** Whether the last target refused a call because its node and this one have read different views. */
export function isViewMismatch(state: NodeState, call: Call, outcome: NotRun): boolean {
    if (outcome.reason !== "not-owner" && outcome.reason !== "draining") return false;
    const view = state.control.views.get(call.service);
    if (call.key === undefined || view === undefined) return false;
    return call.tried.at(-1) === ownerOf(view, call.key)?.id;
}

/** Delays a call's next attempt until this node may have read the view change behind the refusal. */
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

/** Whether a leaving node still accepts a request because no other node may run the request's key. */
export function acceptsWhileLeaving(state: NodeState, key: string | undefined, now: number): boolean {
    const since = state.ownership.leavingSince;
    const view = state.control.views.get(state.self.service);
    if (key === undefined || since === undefined || view === undefined || now > since + LEAVE_GRACE_MS) {
        return false;
    }
    return ownerOf(view, key)?.id === state.self.id;
}

/** Whether a leaving node has left the view and handed over its keys, or has run out of time for it. */
export function isLeaveComplete(state: NodeState, now: number): boolean {
    const { leavingSince, outgoingHandovers, viewAppliedAt } = state.ownership;
    if (leavingSince === undefined || now > leavingSince + MAX_LEAVE_MS) return true;
    if (isMember(state) || !outgoingHandovers.isEmpty()) return false;
    return viewAppliedAt === undefined || now > viewAppliedAt + LEFT_NODE_LINGER_MS;
}
