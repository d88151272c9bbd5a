/**
 * Checkpoints let the log expire old records. A reader starts from the state in a checkpoint and replays all
 * records after the offset of that state, including those before the checkpoint itself. A stale checkpoint is
 * therefore harmless. A bridge is a checkpoint that continues the log with a state that its records do not lead
 * to, for example after a gap, which is a range of records that have expired unread.
 */
import type { ControlState } from "./controlLog.ts";
import { createControlState, replayedOf, replayRecord, stateOfCheckpoint } from "./controlLog.ts";
import type { CheckpointRecord, LogRecord } from "./logRecords.ts";

/** Larger than the number of changes to a view in any gap, so that a bridge outranks the unread changes. */
const BRIDGE_VERSION_INCREMENT = 1_000;

export interface OffsetRecord {
    readonly offset: number;
    readonly record: LogRecord;
}

/** The state of a reader that has not reached the tail of the log yet, or has to start again after a gap. */
export interface Bootstrap {
    /** First offset that the log had when the bootstrap began; 0 if the log has not been asked yet. */
    readonly start: number;
    /** Offset of the next record to read. */
    readonly next: number;
    /** The replayed state; undefined until a state to start from is found. */
    readonly replay?: ControlState | undefined;
    /** Records that were read before a state to start from was found. */
    readonly bufferedRecords: readonly OffsetRecord[];
}

export function createBootstrap(start = 0): Bootstrap {
    return {
        start,
        next: start,
        replay: start === 0 ? createControlState() : undefined,
        bufferedRecords: [],
    };
}

export interface Batch {
    readonly next: number;
    readonly records: readonly OffsetRecord[];
}

/** Adds a batch that was read from offset `bootstrap.next`. */
export function extendBootstrap(bootstrap: Bootstrap, batch: Batch): Bootstrap {
    const extended = batch.records.reduce(addRecord, bootstrap);
    const next = Math.max(extended.next, batch.next);
    const replay = extended.replay === undefined
        ? undefined
        : { ...extended.replay, offset: Math.max(extended.replay.offset, next - 1) };
    return { ...extended, next, replay };
}

function addRecord(bootstrap: Bootstrap, entry: OffsetRecord): Bootstrap {
    const { replay, bufferedRecords, start } = bootstrap;
    if (replay !== undefined) return { ...bootstrap, replay: replayAfter(replay, [entry]) };
    const updated = { ...bootstrap, bufferedRecords: [...bufferedRecords, entry] };
    const { record, offset } = entry;
    const isUsable = record.type === "checkpoint" && record.asOf >= start - 1 && record.asOf < offset;
    return isUsable ? startFrom(updated, stateOfCheckpoint(record)) : updated;
}

/** Starts from a state that was replayed up to its offset, if the log still has all later records. */
export function startFrom(bootstrap: Bootstrap, state: ControlState): Bootstrap {
    if (bootstrap.replay !== undefined || state.offset < bootstrap.start - 1) return bootstrap;
    return { ...bootstrap, replay: replayAfter(state, bootstrap.bufferedRecords), bufferedRecords: [] };
}

function replayAfter(state: ControlState, entries: readonly OffsetRecord[]): ControlState {
    return entries.reduce(
        (replayed, { offset, record }) =>
            offset <= replayed.offset ? replayed : replayRecord(replayed, offset, record).state,
        state,
    );
}

/** Creates a checkpoint of the replayed state. */
export function createCheckpoint(state: ControlState, id: string): CheckpointRecord {
    const { config, views } = replayedOf(state);
    return { type: "checkpoint", id, asOf: state.offset, bridge: false, config, views: views.toObject() };
}

/**
 * Creates a bridge with the effective configuration, for a log whose records do not lead to it. `bootstrap` is passed
 * after a gap, if its reader has found no state to start from. The bridge then counts as the state up to the offset
 * before `bootstrap.start`, and raises the view versions above those of the unread records. Otherwise it has the views
 * as replayed.
 */
export function createBridge(state: ControlState, id: string, bootstrap?: Bootstrap): CheckpointRecord {
    const views = bootstrap === undefined
        ? replayedOf(state).views
        : state.views.map(view => ({ ...view, version: view.version + BRIDGE_VERSION_INCREMENT }));
    return {
        type: "checkpoint",
        id,
        asOf: bootstrap === undefined ? state.offset : bootstrap.start - 1,
        bridge: true,
        config: state.config,
        views: views.toObject(),
    };
}

export type ReadBatch = (from: number) => Promise<
    | { readonly type: "batch"; readonly batch: Batch & { readonly tail: number; }; }
    | { readonly type: "gone"; readonly first: number; }
>;

/**
 * Reads a log from its start, or from a checkpoint, up to its tail. Returns undefined if records have expired
 * and no checkpoint in the log replaces them.
 */
export async function bootstrap(read: ReadBatch): Promise<ControlState | undefined> {
    let reader = createBootstrap();
    for (;;) {
        const result = await read(reader.next);
        if (result.type === "gone") {
            reader = createBootstrap(result.first);
            continue;
        }
        reader = extendBootstrap(reader, result.batch);
        if (result.batch.next >= result.batch.tail) return reader.replay;
    }
}
