/**
 * Checkpoints let the log expire old records: a reader starts from the state that one carries and replays all
 * records after the offset of that state, also those that lie before the checkpoint. A stale checkpoint is
 * therefore harmless.
 */
import type { ControlState } from "./controlLog.ts";
import { createControlState, replayedOf, replayRecord, stateOfCheckpoint } from "./controlLog.ts";
import type { CheckpointRecord, LogRecord } from "./logRecords.ts";

/** Larger than the changes of one service's view in any gap, so that a bridge outdoes those not read. */
const BRIDGE_VERSION_INCREMENT = 1_000;

export interface OffsetRecord {
    readonly offset: number;
    readonly record: LogRecord;
}

/** A reader that has no state as of any offset that the log still continues. */
export interface Bootstrap {
    /** First offset that the log kept when the reading began. */
    readonly start: number;
    readonly next: number;
    /** Replayed state; undefined until a state to start from is found. */
    readonly replay?: ControlState | undefined;
    /** Records read before that. */
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

/** Takes a batch read from `next` on. */
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

/** Starts from a state that was replayed up to its offset, if the log has kept all records after it. */
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

/** The state replayed so far, for readers that start later. */
export function createCheckpoint(state: ControlState, id: string): CheckpointRecord {
    const { config, views } = replayedOf(state);
    return { type: "checkpoint", id, asOf: state.offset, bridge: false, config, views: views.toObject() };
}

/**
 * Continues the log with the version in force when the log no longer holds the records that led to it.
 * After a gap the views are raised above those of the unread records; otherwise they are as replayed.
 */
export function createBridge(state: ControlState, id: string, gap?: Bootstrap): CheckpointRecord {
    const views = gap === undefined
        ? replayedOf(state).views
        : state.views.map(view => ({ ...view, version: view.version + BRIDGE_VERSION_INCREMENT }));
    return {
        type: "checkpoint",
        id,
        asOf: gap === undefined ? state.offset : gap.start - 1,
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
 * Reads a log up to its tail from nothing. Undefined when the log has expired records and keeps no checkpoint
 * that continues from them.
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
