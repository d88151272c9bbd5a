/** Reads the control log by long polling, replays it, and appends records, with retries until they appear in it. */
import type { Map } from "immutable";
import type { Bootstrap } from "./checkpoints.ts";
import { createBootstrap, extendBootstrap } from "./checkpoints.ts";
import { replayedOf, replayRecord, updateReplayed } from "./controlLog.ts";
import type { EventOf, EventStamp } from "./events.ts";
import { applyViewChange } from "./handover.ts";
import type { LogRecord } from "./logRecords.ts";
import { addViewMembers } from "./membership.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, step } from "./state.ts";
import { emptyMap } from "./util.ts";

export const POLL_WAIT_MS = 2_000;
/** Delay before a failed read is retried, plus a jitter that keeps 950 readers from returning together. */
const READ_RETRY_MS = 500;
const READ_RETRY_JITTER_MS = 1_000;
const APPEND_RETRY_MS = 1_000;
/** Bound on appended records that have not appeared in the log. During an outage, new ones replace the oldest. */
const MAX_PENDING_APPENDS = 16;
/** The log counts as unavailable if no read has reached its tail for this long. */
const UNAVAILABLE_AFTER_MS = 5_000;

export interface PendingAppend {
    readonly record: LogRecord;
    /** When to retry the append; undefined while an attempt is in progress. */
    readonly retryAt?: number | undefined;
}

export interface LogReaderState {
    readonly reading: boolean;
    readonly retryAt?: number | undefined;
    /** Offset of the current or last read. Nothing reads this field. */
    readonly from?: number | undefined;
    /** When the last read was sent that reached the tail of the log. */
    readonly tailReadSentAt?: number | undefined;
    /** First offset that the log still had at the last read. */
    readonly first: number;
    /** Present until the log is read to its tail, and again after unread records have expired. */
    readonly bootstrap?: Bootstrap | undefined;
    /** When to write a checkpoint, unless another node has written one by then. */
    readonly checkpointAt?: number | undefined;
    /** When to write a bridge, unless another node has written one by then. */
    readonly bridgeAt?: number | undefined;
    /** `asOf` of the newest checkpoint when `checkpointAt` was chosen. */
    readonly checkpointSeen?: number | undefined;
    /** Appends whose records have not appeared in the log, by record id. */
    readonly pending: Map<string, PendingAppend>;
}

export function createLogReaderState(): LogReaderState {
    return { reading: false, first: 0, bootstrap: createBootstrap(), pending: emptyMap() };
}

export function isLogUnavailable(state: NodeState, now: number): boolean {
    const { tailReadSentAt } = state.logReader;
    return tailReadSentAt === undefined || now - tailReadSentAt > UNAVAILABLE_AFTER_MS;
}

/** Retries due appends, and starts the next read unless one is in progress or waits for its retry. */
export function startNextRead(state: NodeState, stamp: EventStamp): Step {
    return andThen(retryAppends(state, stamp), next => {
        const { reading, retryAt, bootstrap } = next.logReader;
        if (reading) return step(next);
        if (retryAt !== undefined && retryAt > stamp.now) return step(next, { type: "wake_at", at: retryAt });
        const from = bootstrap?.next ?? next.control.offset + 1;
        return step(
            withReader(next, { reading: true, retryAt: undefined, from }),
            { type: "read_log", fromOffset: from, waitMs: POLL_WAIT_MS },
        );
    });
}

export function onLogRead(state: NodeState, event: EventOf<"log_read">): Step {
    const read = withReader(state, { reading: false, first: event.first });
    const replayed = read.logReader.bootstrap === undefined
        ? replay(read, event)
        : replayIntoBootstrap(read, event);
    return andThen(replayed, next => startNextRead(event.atTail ? onTailReached(next, event) : next, event));
}

function replay(state: NodeState, event: EventOf<"log_read">): Step {
    let result = step(state);
    for (const { offset, record } of event.records) {
        if (offset <= result.state.control.offset) continue;
        result = andThen(result, next => applyRecord(next, offset, record, event.now));
    }
    const { control } = result.state;
    // A batch omits records that could not be parsed. They count as read, also if the batch has no other record.
    const offset = Math.max(control.offset, event.next - 1);
    return { ...result, state: { ...result.state, control: { ...control, offset } } };
}

function applyRecord(state: NodeState, offset: number, record: LogRecord, now: number): Step {
    const { state: control, verdict } = replayRecord(state.control, offset, record);
    const pending = state.logReader.pending.delete(record.id);
    return step(
        applyViewChange(withReader({ ...state, control }, { pending }), now),
        {
            type: "count",
            counter: record.type === "view" ? "view_changes" : "config_records",
            label: verdict,
        },
        { type: "log", event: "record", fields: { offset, record: record.type, verdict } },
    );
}

/** Replays into the bootstrap state, because the versions before the tail must not become effective. */
function replayIntoBootstrap(state: NodeState, event: EventOf<"log_read">): Step {
    const bootstrap = extendBootstrap(state.logReader.bootstrap!, event);
    const pending = state.logReader.pending.deleteAll(event.records.map(({ record }) => record.id));
    return step(withReader(state, { bootstrap, pending }));
}

function onTailReached(state: NodeState, event: EventOf<"log_read">): NodeState {
    const finished = finishBootstrap(state);
    if (finished.logReader.bootstrap !== undefined) return finished;
    const updated = withReader(finished, { tailReadSentAt: event.sentAt });
    return addViewMembers(
        { ...updated, ownership: { ...updated.ownership, leaseStartedAt: event.sentAt } },
        event.now,
    );
}

/** Makes the bootstrap state effective once it has reached the tail. */
function finishBootstrap(state: NodeState): NodeState {
    const replay = state.logReader.bootstrap?.replay;
    if (replay === undefined) return state;
    const before = { ...state.control, ...replay, config: state.control.config, views: state.control.views };
    const control = updateReplayed(before, replayedOf(replay));
    return withReader({ ...state, control }, {
        bootstrap: undefined,
        checkpointAt: undefined,
        bridgeAt: undefined,
    });
}

/** Starts a new bootstrap after the records that follow the last one read have expired. */
export function onLogTruncated(state: NodeState, event: EventOf<"log_truncated">): Step {
    const next = withReader(state, {
        reading: false,
        first: event.first,
        bootstrap: createBootstrap(event.first),
        bridgeAt: undefined,
    });
    return startNextRead(next, event);
}

export function onLogReadFailed(state: NodeState, event: EventOf<"log_read_failed">): Step {
    const retryAt = event.now + READ_RETRY_MS + event.rand * READ_RETRY_JITTER_MS;
    return step(withReader(state, { reading: false, retryAt }), { type: "wake_at", at: retryAt });
}

/** Appends a record, and retries until it appears in the log. */
export function append(state: NodeState, record: LogRecord): Step {
    const { pending } = state.logReader;
    const remaining = pending.size >= MAX_PENDING_APPENDS
        ? pending.delete(pending.keySeq().first()!)
        : pending;
    return step(withReader(state, { pending: remaining.set(record.id, { record }) }), {
        type: "append",
        record,
    });
}

/** A failed append may have taken effect, so its retry sends the same record with the same id. */
export function onAppendEnded(state: NodeState, event: EventOf<"append_ended">): Step {
    const entry = state.logReader.pending.get(event.id);
    if (event.offset !== undefined || entry === undefined) return step(state);
    const retryAt = event.now + APPEND_RETRY_MS;
    const pending = state.logReader.pending.set(event.id, { ...entry, retryAt });
    return step(withReader(state, { pending }), { type: "wake_at", at: retryAt });
}

function retryAppends(state: NodeState, stamp: EventStamp): Step {
    const due = state.logReader.pending.filter(({ retryAt }) =>
        retryAt !== undefined && retryAt <= stamp.now
    );
    if (due.isEmpty()) return step(state);
    const pending = state.logReader.pending.merge(due.map(({ record }) => ({ record })));
    return step(
        withReader(state, { pending }),
        ...due.valueSeq().map(({ record }) => ({ type: "append" as const, record })),
    );
}

export function withReader(state: NodeState, changes: Partial<LogReaderState>): NodeState {
    return { ...state, logReader: { ...state.logReader, ...changes } };
}
