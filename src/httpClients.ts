/** HTTP connection pools to other nodes and to the local target, each with a maximum number of connections. */
import { Pool } from "undici";
import type { Address } from "./types.ts";
import { formatAddress } from "./types.ts";

const KEEP_ALIVE_MS = 30_000;
const CONNECT_TIMEOUT_MS = 1_000;

interface BoundedPool {
    readonly pool: Pool;
    readonly connections: number;
}

export class HttpClients {
    private readonly pools = new Map<string, BoundedPool>();

    /**
     * Returns the pool of an address for one purpose. A different maximum replaces the pool; requests in
     * progress on the old pool finish.
     */
    pool(address: Address, maxConnections: number, purpose: "data" | "control" = "data"): Pool {
        const poolKey = `${purpose} ${formatAddress(address)}`;
        const existing = this.pools.get(poolKey);
        if (existing?.connections === maxConnections) return existing.pool;
        void existing?.pool.close();
        const pool = new Pool(`http://${formatAddress(address)}`, {
            connections: maxConnections,
            pipelining: 1,
            keepAliveTimeout: KEEP_ALIVE_MS,
            connect: { timeout: CONNECT_TIMEOUT_MS },
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        this.pools.set(poolKey, { pool, connections: maxConnections });
        return pool;
    }

    async close(): Promise<void> {
        const pools = [...this.pools.values()].map(({ pool }) => pool);
        this.pools.clear();
        await Promise.allSettled(pools.map(pool => pool.destroy()));
    }
}
