/** Decides when a node writes a checkpoint or a bridge (see `CheckpointRecord.bridge`) to the log. */
import { createBridge, createCheckpoint } from "./checkpoints.ts";
import { configNumberOf, replayedOf } from "./controlLog.ts";
import type { EventStamp } from "./events.ts";
import { append, isLogUnavailable, withReader } from "./logReader.ts";
import type { NodeState, Step } from "./state.ts";
import { step } from "./state.ts";

/** With this period and jitter, about two of 950 nodes write a checkpoint each time. */
const CHECKPOINT_PERIOD_MS = 600_000;
const CHECKPOINT_JITTER_MS = 600_000;
/** Bound on the random delay if the state of the newest checkpoint is in the half of the log that expires first. */
const URGENT_JITTER_MS = 30_000;
/** Wait before a bridge, in which a peer may respond with its state or write a bridge, so that none is needed here. */
const BRIDGE_WAIT_MS = 10_000;
const BRIDGE_JITTER_MS = 20_000;
/** Wait of a node without a configuration. It is longer, so that a node that has one writes the bridge. */
const EMPTY_BRIDGE_WAIT_MS = 60_000;

/** Appends a checkpoint or a bridge if one is due. */
export function writeCheckpoint(state: NodeState, stamp: EventStamp): Step {
    const { bootstrap } = state.logReader;
    if (bootstrap !== undefined) {
        return writeBridgeIfDue(state, stamp, bootstrap.replay === undefined);
    }
    if (isLogUnavailable(state, stamp.now)) return step(state);
    const { control } = state;
    // Whether the node has a version from a peer that the records replayed so far do not lead to.
    const isAhead = configNumberOf(control) > configNumberOf(replayedOf(control));
    if (isAhead || state.logReader.bridgeAt !== undefined) return writeBridgeIfDue(state, stamp, isAhead);
    return writeCheckpointIfDue(state, stamp);
}

function writeBridgeIfDue(state: NodeState, stamp: EventStamp, isNeeded: boolean): Step {
    const { bridgeAt, bootstrap } = state.logReader;
    if (!isNeeded) return step(bridgeAt === undefined ? state : withReader(state, { bridgeAt: undefined }));
    if (bridgeAt === undefined) {
        const wait = state.control.config === undefined ? EMPTY_BRIDGE_WAIT_MS : BRIDGE_WAIT_MS;
        return step(withReader(state, { bridgeAt: stamp.now + wait + stamp.rand * BRIDGE_JITTER_MS }));
    }
    if (bridgeAt > stamp.now) return step(state);
    const id = `bridge:${state.self.id}:${Math.floor(stamp.now)}`;
    return append(withReader(state, { bridgeAt: undefined }), createBridge(state.control, id, bootstrap));
}

function writeCheckpointIfDue(state: NodeState, stamp: EventStamp): Step {
    const { first, checkpointAt, checkpointSeen } = state.logReader;
    const { offset, checkpointAsOf } = state.control;
    if (offset < 0) return step(state);
    const isUrgent = first > 0 && checkpointAsOf + 1 - first < (offset + 1 - first) / 2;
    if (checkpointAt === undefined || checkpointSeen !== checkpointAsOf) {
        const at = stamp.now + CHECKPOINT_PERIOD_MS + stamp.rand * CHECKPOINT_JITTER_MS;
        return step(withReader(state, { checkpointAt: at, checkpointSeen: checkpointAsOf }));
    }
    if (isUrgent && checkpointAt > stamp.now + URGENT_JITTER_MS) {
        return step(withReader(state, { checkpointAt: stamp.now + stamp.rand * URGENT_JITTER_MS }));
    }
    if (checkpointAt > stamp.now) return step(state);
    const id = `checkpoint:${state.self.id}:${Math.floor(stamp.now)}`;
    return append(withReader(state, { checkpointAt: undefined }), createCheckpoint(state.control, id));
}
