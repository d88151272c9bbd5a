/**
 * Graceful shutdown. The node notifies recent senders that it is draining, refuses new runs with the reason
 * "draining", leaves the view of its service, lets runs and calls finish, and exits.
 */
import { Map } from "immutable";
import type { EventOf, EventStamp } from "./events.ts";
import { enqueueOwnUpdate } from "./gossip.ts";
import { isLeaveComplete } from "./ownershipMaintenance.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, step } from "./state.ts";
import { sendExtraProbe } from "./swim.ts";

/** Nodes that sent something within this time may soon send requests, so they are notified. Others learn by gossip. */
const RECENT_SENDER_MS = 60_000;
/**
 * Maximum number of notices to one node. A notice is a SWIM probe, which carries the new status. It is repeated until
 * any ack of the node arrives, because datagrams can get lost.
 */
const MAX_NOTICE_ATTEMPTS = 5;
const NOTICE_INTERVAL_MS = 300;
/** The node keeps responding for at least this time, so that no request is sent on a connection that is closing. */
const MIN_DRAIN_MS = 2_000;

export interface DrainState {
    readonly startedAt?: number | undefined;
    /** When each node last sent something to this one, by node id; up to a tenth of `RECENT_SENDER_MS` too early. */
    readonly lastSeenAt: Map<string, number>;
    /** By node id, how many more notices are sent to a node that has not acknowledged one. */
    readonly pendingNotices: Map<string, number>;
    readonly nextNoticeAt: number;
    readonly isExitRequested: boolean;
}

export function createDrainState(): DrainState {
    return { lastSeenAt: Map(), pendingNotices: Map(), nextNoticeAt: 0, isExitRequested: false };
}

/** Records a node that sent a request or a datagram. With `isAck`, no further notice is sent to it. */
export function recordSender(state: NodeState, id: string, now: number, isAck = false): NodeState {
    const { lastSeenAt, pendingNotices } = state.drain;
    // A recorded time is kept for a tenth of `RECENT_SENDER_MS`, so that most requests need no new map.
    const isFresh = now - (lastSeenAt.get(id) ?? -Infinity) < RECENT_SENDER_MS / 10;
    const isAcknowledged = isAck && pendingNotices.has(id);
    if (isFresh && !isAcknowledged) return state;
    return withDrain(state, {
        lastSeenAt: isFresh ? lastSeenAt : lastSeenAt.set(id, now),
        pendingNotices: isAcknowledged ? pendingNotices.delete(id) : pendingNotices,
    });
}

export function onDrainRequested(state: NodeState, event: EventOf<"drain_requested">): Step {
    if (state.draining) return step(state);
    // The added tenth makes up for recorded times that are too early (see `recordSender`).
    const recentSenders = state.drain.lastSeenAt.filter(at =>
        event.now - at <= RECENT_SENDER_MS + RECENT_SENDER_MS / 10
    );
    const draining = withDrain({ ...state, draining: true }, {
        startedAt: event.now,
        pendingNotices: recentSenders.map(() => MAX_NOTICE_ATTEMPTS),
        nextNoticeAt: event.now,
    });
    return andThen(
        step(enqueueOwnUpdate(draining, 0), {
            type: "log",
            event: "draining",
            fields: { source: event.source },
        }),
        next => onDrainWake(next, event),
    );
}

/** Sends the notices that are due while the node drains. Before that, only removes senders that are not recent. */
export function onDrainWake(state: NodeState, stamp: EventStamp): Step {
    if (!state.draining) return step(pruneSenders(state, stamp.now));
    return sendNotices(state, stamp.now);
}

function pruneSenders(state: NodeState, now: number): NodeState {
    const { lastSeenAt } = state.drain;
    const recent = lastSeenAt.filter(at => now - at <= 2 * RECENT_SENDER_MS);
    return recent.size === lastSeenAt.size ? state : withDrain(state, { lastSeenAt: recent });
}

function sendNotices(state: NodeState, now: number): Step {
    const { pendingNotices, nextNoticeAt } = state.drain;
    if (pendingNotices.isEmpty()) return step(state);
    if (nextNoticeAt > now) return step(state, { type: "wake_at", at: nextNoticeAt });
    const next = withDrain(state, {
        pendingNotices: pendingNotices.filter(remaining => remaining > 1).map(remaining => remaining - 1),
        nextNoticeAt: now + NOTICE_INTERVAL_MS,
    });
    return [...pendingNotices.keys()].reduce(
        (result, id) =>
            andThen(result, current => sendExtraProbe(current, current.members.entries.get(id)?.member)),
        step(next, { type: "wake_at", at: now + NOTICE_INTERVAL_MS }),
    );
}

/**
 * Requests the exit of the process once `MIN_DRAIN_MS` has passed, all runs and calls have ended, and the node has left
 * its view or run out of time for that.
 */
export function exitWhenDrained(state: NodeState, stamp: EventStamp): Step {
    const { startedAt, isExitRequested } = state.drain;
    if (startedAt === undefined || isExitRequested) return step(state);
    const isIdle = state.runs.runs.isEmpty() && state.calls.calls.isEmpty();
    const minExitAt = startedAt + MIN_DRAIN_MS;
    if (!isIdle || stamp.now < minExitAt || !isLeaveComplete(state, stamp.now)) return step(state);
    return step(withDrain(state, { isExitRequested: true }), { type: "exit" });
}

function withDrain(state: NodeState, changes: Partial<DrainState>): NodeState {
    return { ...state, drain: { ...state.drain, ...changes } };
}
