/** Limits of the server for client requests, with defaults that apply until there is a configuration. */
import type { ServerLimits } from "../http/httpServer.ts";
import type { ClientLimits } from "./types.ts";

const DEFAULT_CLIENT_LIMITS: ClientLimits = {
    maxHeaderBytes: 16 * 1024,
    maxBodyBytes: 64 * 1024 * 1024,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
};

/** Descriptors of a host that its operator reserves for files. */
const RESERVED_FDS = 200;
/** Listeners, pipes, connections to the store and from the operator. */
const OTHER_FDS = 100;
const DEFAULT_MAX_FDS = 4096;
const MIN_CLIENT_CONNECTIONS = 64;

/** Number of client connections for which there are descriptors: each other node needs two, each slot one. */
export function maxClientConnections(maxFds = DEFAULT_MAX_FDS, nodeCount: number, slots: number): number {
    return Math.max(MIN_CLIENT_CONNECTIONS, maxFds - RESERVED_FDS - OTHER_FDS - 2 * nodeCount - slots);
}

export function toServerLimits(limits: ClientLimits = DEFAULT_CLIENT_LIMITS): ServerLimits {
    return {
        maxHeadBytes: limits.maxHeaderBytes,
        maxBodyBytes: limits.maxBodyBytes,
        headerTimeoutMs: limits.headerTimeoutMs,
        idleTimeoutMs: limits.idleTimeoutMs,
    };
}
