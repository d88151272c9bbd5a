/** HTTP connections to other nodes and to the local target: one bounded pool for each address. */
import { Pool } from "undici";
import type { Address } from "./types.ts";
import { formatAddress } from "./types.ts";

const KEEP_ALIVE_MS = 30_000;
const CONNECT_TIMEOUT_MS = 1_000;

export class HttpClients {
    private readonly pools = new Map<string, Pool>();

    /** The pool of an address for one purpose; `connections` is the bound of a pool that does not exist yet. */
    pool(address: Address, connections: number, purpose: "data" | "control" = "data"): Pool {
        const name = `${purpose} ${formatAddress(address)}`;
        let pool = this.pools.get(name);
        if (pool === undefined) {
            pool = new Pool(`http://${formatAddress(address)}`, {
                connections,
                pipelining: 1,
                keepAliveTimeout: KEEP_ALIVE_MS,
                connect: { timeout: CONNECT_TIMEOUT_MS },
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            this.pools.set(name, pool);
        }
        return pool;
    }

    async close(): Promise<void> {
        const pools = [...this.pools.values()];
        this.pools.clear();
        await Promise.allSettled(pools.map(pool => pool.destroy()));
    }
}

const NEVER_CONNECTED = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Whether an error of undici proves that no connection existed, so that no byte of the request was sent. */
export function isConnectFailure(err: unknown): boolean {
    const code = (err as { code?: unknown; } | undefined)?.code;
    return typeof code === "string" && NEVER_CONNECTED.has(code);
}
