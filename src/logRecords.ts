/** Records of the `control` stream in the platform's log service. */
import type { Configuration, ConfigVersion, Member, View } from "./types.ts";

/** The base of the first configuration, which has no predecessor. */
export const NO_BASE = "none";

/** Proposes a configuration. It is accepted if `base` is the id of the current version. */
export interface ConfigRecord {
    readonly type: "config";
    readonly id: string;
    readonly base: string;
    readonly author: string;
    readonly configuration: Configuration;
}

/** Changes a service's view. Takes effect if `baseVersion` is current and a majority of voters backs it. */
export interface ViewRecord {
    readonly type: "view";
    readonly id: string;
    readonly service: string;
    readonly baseVersion: number;
    readonly change: "join" | "leave" | "exclude";
    readonly members: readonly Member[];
    readonly voters: readonly Member[];
    /** Ids of the voters of the base version that back the change. */
    readonly backers: readonly string[];
}

/** The replayed state as of an offset. Readers start from it, so that the log may expire older records. */
export interface CheckpointRecord {
    readonly type: "checkpoint";
    readonly id: string;
    readonly asOf: number;
    /**
     * Whether the checkpoint continues the log with a state that the records still in the log do not lead to,
     * for example after records expired that no node had read.
     */
    readonly bridge: boolean;
    readonly config?: ConfigVersion | undefined;
    readonly views: Readonly<Record<string, View>>;
}

export type LogRecord = ConfigRecord | ViewRecord | CheckpointRecord;
