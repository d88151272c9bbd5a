/** Records of the `control` stream of the platform's log service. */
import type { Configuration, ConfigVersion, Member, View } from "./types.ts";

/** The base id of the first configuration. */
export const NO_BASE = "none";

/** Proposes a configuration; accepted if `base` is the id of the current version. */
export interface ConfigRecord {
    readonly type: "config";
    readonly id: string;
    readonly base: string;
    readonly author: string;
    readonly configuration: Configuration;
}

/** Changes the view of one service; has effect if `baseVersion` is current and a majority of voters backs it. */
export interface ViewRecord {
    readonly type: "view";
    readonly id: string;
    readonly service: string;
    readonly baseVersion: number;
    readonly change: "join" | "leave" | "exclude";
    readonly members: readonly Member[];
    readonly voters: readonly Member[];
    /** Ids of voters of the base version. */
    readonly backers: readonly string[];
}

/** The replayed state as of an offset, so that older records may expire. */
export interface CheckpointRecord {
    readonly type: "checkpoint";
    readonly id: string;
    readonly asOf: number;
    /** Written after a gap in the log: no reader has seen all records before `asOf`. */
    readonly bridge: boolean;
    readonly config?: ConfigVersion | undefined;
    readonly views: Readonly<Record<string, View>>;
}

export type LogRecord = ConfigRecord | ViewRecord | CheckpointRecord;
