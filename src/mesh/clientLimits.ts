/** Limits of the server for client requests, with defaults that apply until there is a configuration. */
import type { ServerLimits } from "../http/httpServer.ts";
import type { ClientLimits } from "./types.ts";

const DEFAULT_CLIENT_LIMITS: ClientLimits = {
    maxHeaderBytes: 16 * 1024,
    maxBodyBytes: 64 * 1024 * 1024,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
};

export function toServerLimits(limits: ClientLimits = DEFAULT_CLIENT_LIMITS): ServerLimits {
    return {
        maxHeadBytes: limits.maxHeaderBytes,
        maxBodyBytes: limits.maxBodyBytes,
        headerTimeoutMs: limits.headerTimeoutMs,
        idleTimeoutMs: limits.idleTimeoutMs,
    };
}
