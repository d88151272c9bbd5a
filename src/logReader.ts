/** Keeps one long poll on the control log open, replays what it brings, and sees appends through lost answers. */
import type { Map } from "immutable";
import { replayRecord } from "./controlLog.ts";
import type { EventOf, EventStamp } from "./events.ts";
import { noteView } from "./handover.ts";
import type { LogRecord } from "./logRecords.ts";
import { learnViews } from "./membership.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, step } from "./state.ts";
import { emptyMap } from "./util.ts";

export const POLL_WAIT_MS = 2_000;
const RETRY_MS = 500;

export interface LogReaderState {
    readonly reading: boolean;
    readonly retryAt?: number | undefined;
    /** When the last read that reached the tail was sent. */
    readonly tailAskedAt?: number | undefined;
    /** Appends whose fate is not yet seen in the log. */
    readonly pending: Map<string, LogRecord>;
}

export function createLogReaderState(): LogReaderState {
    return { reading: false, pending: emptyMap() };
}

/** Starts the next read when none is open and no pause after a failure is running. */
export function readOn(state: NodeState, stamp: EventStamp): Step {
    const { reading, retryAt } = state.logReader;
    if (reading || (retryAt !== undefined && retryAt > stamp.now)) return step(state);
    return step(
        { ...state, logReader: { ...state.logReader, reading: true, retryAt: undefined } },
        { type: "read_log", from: state.control.offset + 1, waitMs: POLL_WAIT_MS },
    );
}

export function onLogRead(state: NodeState, event: EventOf<"log_read">): Step {
    let result = step(state);
    for (const { offset, record } of event.records) {
        if (offset <= result.state.control.offset) continue;
        result = andThen(result, next => applyRecord(next, offset, record, event.now));
    }
    if (event.atTail) result = { ...result, state: learnViews(result.state, event.now) };
    const tailAskedAt = event.atTail ? event.askedAt : result.state.logReader.tailAskedAt;
    const read = { ...result.state, logReader: { ...result.state.logReader, reading: false, tailAskedAt } };
    const proven = event.atTail
        ? { ...read, ownership: { ...read.ownership, provenAt: event.askedAt } }
        : read;
    return andThen({ state: proven, effects: result.effects }, next => readOn(next, event));
}

function applyRecord(state: NodeState, offset: number, record: LogRecord, now: number): Step {
    const { state: control, verdict } = replayRecord(state.control, offset, record);
    const pending = state.logReader.pending.delete(record.id);
    return step(
        noteView({ ...state, control, logReader: { ...state.logReader, pending } }, now),
        {
            type: "count",
            counter: record.type === "view" ? "view_changes" : "config_records",
            label: verdict,
        },
        { type: "log", event: "record", fields: { offset, record: record.type, verdict } },
    );
}

export function onLogGone(state: NodeState, event: EventOf<"log_gone">): Step {
    const control = { ...state.control, offset: Math.max(state.control.offset, event.first - 1) };
    const next = { ...state, control, logReader: { ...state.logReader, reading: false } };
    return readOn(next, event);
}

export function onLogFailed(state: NodeState, event: EventOf<"log_failed">): Step {
    const retryAt = event.now + RETRY_MS;
    return step(
        { ...state, logReader: { ...state.logReader, reading: false, retryAt } },
        { type: "wake_at", at: retryAt },
    );
}

/** Appends a record and keeps it until the log shows it. */
export function append(state: NodeState, record: LogRecord): Step {
    const pending = state.logReader.pending.set(record.id, record);
    return step({ ...state, logReader: { ...state.logReader, pending } }, { type: "append", record });
}

/** An append without an answer may have taken effect, so the same record, with the same id, is sent again. */
export function onAppendEnded(state: NodeState, event: EventOf<"append_ended">): Step {
    const record = state.logReader.pending.get(event.id);
    if (event.offset !== undefined || record === undefined) return step(state);
    return step(state, { type: "append", record });
}
