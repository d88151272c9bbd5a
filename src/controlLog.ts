/**
 * Replay of the control log. Every node that has read the same prefix has the same configuration and views:
 * the order of the log decides every race.
 */
import { Map } from "immutable";
import type { CheckpointRecord, ConfigRecord, LogRecord, ViewRecord } from "./logRecords.ts";
import { NO_BASE } from "./logRecords.ts";
import type { ConfigVersion, View } from "./types.ts";

export interface ControlState {
    /** Offset of the last record applied, -1 before the first. */
    readonly offset: number;
    readonly config?: ConfigVersion | undefined;
    readonly views: Map<string, View>;
    /** `asOf` of the newest checkpoint seen, -1 for none. */
    readonly checkpointAsOf: number;
}

export function createControlState(): ControlState {
    return { offset: -1, views: Map(), checkpointAsOf: -1 };
}

/** Why a record has no effect. */
export type RecordVerdict = "accepted" | "superseded" | "duplicate" | "unbacked" | "checkpoint";

export interface Replayed {
    readonly state: ControlState;
    readonly verdict: RecordVerdict;
}

/** Applies the record at `offset`. A record that has no effect still advances the offset. */
export function replayRecord(state: ControlState, offset: number, record: LogRecord): Replayed {
    const advanced = { ...state, offset };
    switch (record.type) {
        case "config":
            return replayConfig(advanced, record);
        case "view":
            return replayView(advanced, offset, record);
        case "checkpoint":
            return {
                state: { ...advanced, checkpointAsOf: Math.max(state.checkpointAsOf, record.asOf) },
                verdict: "checkpoint",
            };
    }
}

function replayConfig(state: ControlState, record: ConfigRecord): Replayed {
    const current = state.config;
    if (current?.id === record.id) return { state, verdict: "duplicate" };
    if (record.base !== (current?.id ?? NO_BASE)) return { state, verdict: "superseded" };
    const config: ConfigVersion = {
        id: record.id,
        number: (current?.number ?? 0) + 1,
        author: record.author,
        configuration: record.configuration,
    };
    return { state: { ...state, config }, verdict: "accepted" };
}

function replayView(state: ControlState, offset: number, record: ViewRecord): Replayed {
    const current = state.views.get(record.service);
    if (record.baseVersion !== (current?.version ?? 0)) return { state, verdict: "superseded" };
    const needsBackers = current !== undefined && current.voters.length > 0;
    if (needsBackers && !hasMajority(current, record.backers)) return { state, verdict: "unbacked" };
    const changed = new Set(record.members.map(member => member.id));
    const kept = (current?.members ?? []).filter(member => !changed.has(member.id));
    const view: View = {
        version: record.baseVersion + 1,
        offset,
        members: record.change === "join" ? [...kept, ...record.members] : kept,
        voters: record.voters,
    };
    return { state: { ...state, views: state.views.set(record.service, view) }, verdict: "accepted" };
}

/** Whether the backers hold more than half of the votes of a view. */
export function hasMajority(view: View, backers: readonly string[]): boolean {
    const votes = view.voters.filter(voter => backers.includes(voter.id)).length;
    return votes * 2 > view.voters.length;
}

/** The state that a checkpoint carries, as of its offset. */
export function stateOfCheckpoint(checkpoint: CheckpointRecord): ControlState {
    return {
        offset: checkpoint.asOf,
        config: checkpoint.config,
        views: Map(Object.entries(checkpoint.views)),
        checkpointAsOf: checkpoint.asOf,
    };
}
