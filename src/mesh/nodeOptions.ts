/** Options of a node of the mesh. */
import type { QuotaBounds } from "../policy/quotaTypes.ts";
import type { RetryBudgetOptions } from "../policy/retryBudget.ts";
import type { ControlStore } from "./controlStore.ts";
import type { EventLog } from "./eventLog.ts";
import type { TargetProtocol } from "./protocol.ts";
import type { ConfigResult } from "./types.ts";

export interface HostPort {
    readonly host: string;
    readonly port: number;
}

export interface MeshNodeOptions {
    readonly name: string;
    readonly dataCentre: string;
    readonly service: string;
    /** Listen address for requests from clients on this host and from the local target. */
    readonly outbound: HostPort;
    /** Listen address for other nodes. */
    readonly peer: HostPort;
    readonly target: HostPort;
    /** Memory of the host for this process in MB, and its file descriptors; both have defaults. */
    readonly memoryMb?: number | undefined;
    readonly maxFds?: number | undefined;
    readonly retryBudget: RetryBudgetOptions;
    /** What the checked bound of the quotas allows beyond them. */
    readonly quotaBounds: QuotaBounds;
    /** Whether the concurrency limit of the target is learned from its service times. */
    readonly learnsCapacity: boolean;
    /** Time in ms from the stop signal until the process is killed. */
    readonly graceMs: number;
    readonly store: ControlStore;
    readonly decodeConfig: (encoded: Buffer) => ConfigResult;
    readonly log: EventLog;
    readonly protocol: TargetProtocol;
    /** Unix time in ms at which the process started. */
    readonly startedAt: number;
}
