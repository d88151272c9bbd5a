/**
 * Replay of the control log. All nodes that have read the same prefix of the log have replayed the same
 * configuration and views, because the order of the log decides every race. State received from peers is
 * stored apart from the replayed state, so that it neither affects the replay of later records nor hides any. The
 * exceptions are states that the peer itself replayed from the log: `adoptPeerState` (leases.ts) takes over one that is
 * further while this node cannot read the log, and `startFrom` (checkpoints.ts) one to replay from after a gap.
 */
import { Map } from "immutable";
import type { CheckpointRecord, ConfigRecord, LogRecord, ViewRecord } from "./logRecords.ts";
import { NO_BASE } from "./logRecords.ts";
import type { Configuration, ConfigVersion, View } from "./types.ts";

/** Bound on the ids of accepted records that are kept to tell a second copy of a record from a lost race. */
const ACCEPTED_IDS_LIMIT = 256;

/** A configuration and the views of all services: as replayed from the log, in effect on a node, or sent by a peer. */
export interface Replica {
    readonly config?: ConfigVersion | undefined;
    readonly views: Map<string, View>;
}

/** The control state. Its `config` and `views` are effective: the newest of those replayed or from peers. */
export interface ControlState extends Replica {
    /** Offset of the last record replayed; -1 before the first. */
    readonly offset: number;
    /** `asOf` of the newest checkpoint read; -1 if there is none. */
    readonly checkpointAsOf: number;
    /** The state replayed from the log alone; undefined while it equals the effective state. */
    readonly replayed?: Replica | undefined;
    /** Ids of the records accepted most recently. */
    readonly acceptedIds?: readonly string[] | undefined;
}

export function createControlState(): ControlState {
    return { offset: -1, views: Map(), checkpointAsOf: -1 };
}

export function replayedOf(state: ControlState): Replica {
    return state.replayed ?? state;
}

/** Whether a record takes effect, or why it does not. A checkpoint that is no bridge never does. */
export type RecordVerdict = "accepted" | "superseded" | "duplicate" | "unbacked" | "checkpoint";

export interface ReplayResult {
    readonly state: ControlState;
    readonly verdict: RecordVerdict;
}

interface ReplicaChange {
    readonly replica: Replica;
    readonly verdict: RecordVerdict;
}

/** Applies the record at an offset. A record without effect still advances the offset. */
export function replayRecord(state: ControlState, offset: number, record: LogRecord): ReplayResult {
    const before = replayedOf(state);
    const isDuplicate = state.acceptedIds?.includes(record.id) ?? false;
    const { replica, verdict } = isDuplicate
        ? { replica: before, verdict: "duplicate" as const }
        : applyToReplica(before, offset, record);
    const advanced: ControlState = {
        ...state,
        offset,
        acceptedIds: verdict === "accepted"
            ? [...state.acceptedIds ?? [], record.id].slice(-ACCEPTED_IDS_LIMIT)
            : state.acceptedIds,
        checkpointAsOf: record.type === "checkpoint"
            ? Math.max(state.checkpointAsOf, record.asOf)
            : state.checkpointAsOf,
    };
    return { state: replica === before ? advanced : updateReplayed(advanced, replica), verdict };
}

function applyToReplica(replica: Replica, offset: number, record: LogRecord): ReplicaChange {
    switch (record.type) {
        case "config":
            return replayConfig(replica, offset, record);
        case "view":
            return replayView(replica, offset, record);
        case "checkpoint":
            return record.bridge ? replayBridge(replica, offset, record) : { replica, verdict: "checkpoint" };
    }
}

function replayConfig(replica: Replica, offset: number, record: ConfigRecord): ReplicaChange {
    const current = replica.config;
    if (current?.id === record.id) return { replica, verdict: "duplicate" };
    if (record.base !== (current?.id ?? NO_BASE)) return { replica, verdict: "superseded" };
    const config: ConfigVersion = {
        id: record.id,
        number: (current?.number ?? 0) + 1,
        author: record.author,
        configuration: record.configuration,
    };
    const views = emptyReplacedViews(replica.views, offset, record.configuration);
    return { replica: { config, views }, verdict: "accepted" };
}

/** Empties the views whose voters the operator has declared lost, so that new instances can join. */
function emptyReplacedViews(
    views: Replica["views"],
    offset: number,
    configuration: Configuration,
): Replica["views"] {
    return configuration.replacedServices.reduce(
        (all, { service, viewVersion }) =>
            all.get(service)?.version === viewVersion
                ? all.set(service, { version: viewVersion + 1, offset, members: [], voters: [] })
                : all,
        views,
    );
}

function replayView(replica: Replica, offset: number, record: ViewRecord): ReplicaChange {
    const current = replica.views.get(record.service);
    if (record.baseVersion !== (current?.version ?? 0)) return { replica, verdict: "superseded" };
    const needsBackers = current !== undefined && current.voters.length > 0;
    if (needsBackers && !hasMajority(current, record.backers)) return { replica, verdict: "unbacked" };
    const changed = new Set(record.members.map(member => member.id));
    const kept = (current?.members ?? []).filter(member => !changed.has(member.id));
    const view: View = {
        version: record.baseVersion + 1,
        offset,
        members: record.change === "join" ? [...kept, ...record.members] : kept,
        voters: record.voters,
    };
    return {
        replica: { ...replica, views: replica.views.set(record.service, view) },
        verdict: "accepted",
    };
}

/**
 * Applies a bridge. One with a lower configuration version than the replayed one has no effect here. A node that had
 * no state to start from has started from it nevertheless; when that node learns the higher version from a peer, it
 * writes another bridge.
 */
function replayBridge(replica: Replica, offset: number, record: CheckpointRecord): ReplicaChange {
    if (configNumberOf(record) < configNumberOf(replica)) return { replica, verdict: "superseded" };
    // Views of equal versions are replaced too, so that all readers have the same offset for a view.
    const views = Map(Object.entries(record.views)).map(view => ({ ...view, offset }));
    return {
        replica: { config: record.config, views: newerViews(views, replica.views) },
        verdict: "accepted",
    };
}

/** Whether the backers are a majority of the voters of a view. A view without voters needs no backers. */
export function hasMajority(view: View, backers: readonly string[]): boolean {
    if (view.voters.length === 0) return true;
    const votes = view.voters.filter(voter => backers.includes(voter.id)).length;
    return votes * 2 > view.voters.length;
}

export function configNumberOf(replica: { readonly config?: ConfigVersion | undefined; }): number {
    return replica.config?.number ?? 0;
}

/** Sets the replayed state. State received from peers stays effective where it is newer. */
export function updateReplayed(state: ControlState, replica: Replica): ControlState {
    const { config, views } = newerOf(state, replica);
    const isEqual = config === replica.config && views.equals(replica.views);
    return isEqual
        ? { ...state, config: replica.config, views: replica.views, replayed: undefined }
        : { ...state, config, views, replayed: replica };
}

/** Makes the newer parts of a peer's state effective. The replayed state does not change. */
export function mergePeerReplica(state: ControlState, received: Replica): ControlState {
    const { config, views } = newerOf(received, state);
    if (config === state.config && views === state.views) return state;
    return { ...state, config, views, replayed: replayedOf(state) };
}

/** Combines the higher versions of each part; of equal versions, the one of `preferred`. */
function newerOf(other: Replica, preferred: Replica): Replica {
    return {
        config: configNumberOf(other) > configNumberOf(preferred) ? other.config : preferred.config,
        views: newerViews(preferred.views, other.views),
    };
}

function newerViews(preferred: Replica["views"], other: Replica["views"]): Replica["views"] {
    return preferred.withMutations(views => {
        for (const [service, view] of other) {
            if (view.version > (views.get(service)?.version ?? 0)) views.set(service, view);
        }
    });
}

/** The state in a checkpoint, which is the state as of the offset `asOf`. */
export function stateOfCheckpoint(checkpoint: CheckpointRecord): ControlState {
    return {
        offset: checkpoint.asOf,
        config: checkpoint.config,
        views: Map(Object.entries(checkpoint.views)),
        checkpointAsOf: checkpoint.asOf,
    };
}
