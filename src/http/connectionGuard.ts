/**
 * Bounds the memory and the number of the connections of an HTTP server: stops reading large bodies while the memory
 * budget is used up, refuses or closes what `memoryBudget.ts` chooses, and closes idle connections when there are too
 * many.
 */
import { steadyNow } from "../mesh/clock.ts";
import {
    chooseLargeVictims,
    chooseResumed,
    chooseSmallVictims,
    chooseUnreadResponses,
    MAX_SMALL_BYTES,
} from "../policy/memoryBudget.ts";
import type { MemoryBudget } from "../policy/memoryBudget.ts";
import type { ClientConnection } from "./clientConnection.ts";

export interface ConnectionGuardOptions {
    readonly budget: MemoryBudget;
    readonly connections: ReadonlySet<ClientConnection>;
    /** Returns the number of connections up to which none is closed. */
    readonly maxConnections: () => number;
    /** Called for each request that is refused, and each connection that is closed. */
    readonly onReleased?: ((event: ReleaseEvent) => void) | undefined;
}

export interface ReleaseEvent {
    readonly cause: "memory" | "connections";
    readonly state: string;
    readonly bytes: number;
}

/** Share of the connections that is closed at once when there are too many. */
const CLOSED_SHARE = 0.02;
/** A connection is idle if it had nothing in progress for this time. A client may just be sending on another one. */
const MIN_IDLE_MS = 1000;

export class ConnectionGuard {
    private readonly large = new Set<ClientConnection>();

    constructor(private readonly options: ConnectionGuardOptions) {
        options.budget.setReclaim(() => this.closeUnread());
    }

    /** Records a changed number of bytes that a connection holds. */
    resize(conn: ClientConnection, fromBytes: number, toBytes: number): void {
        const { budget } = this.options;
        budget.resize(fromBytes, toBytes);
        if (toBytes > MAX_SMALL_BYTES) this.large.add(conn);
        else if (fromBytes > MAX_SMALL_BYTES) this.large.delete(conn);
        if (toBytes <= fromBytes) return;
        if (budget.isSmallPartFull) this.release(chooseSmallVictims(this.options.connections, budget));
        if (budget.isLargePartFull) this.closeUnread();
    }

    /** Whether a connection must stop reading the body of a request. */
    mustWait(heldBytes: number): boolean {
        return heldBytes > MAX_SMALL_BYTES && this.options.budget.requestRoom <= 0;
    }

    /** Whether a complete request must be refused. A large body has got its memory while it arrived. */
    mustRefuse(bodyBytes: number): boolean {
        return bodyBytes > 0 && bodyBytes <= MAX_SMALL_BYTES && this.options.budget.isSmallPartFull;
    }

    countRefusal(): void {
        this.options.budget.refusals++;
    }

    /** Refuses or closes stalled connections, and reads on where there is room again. Called every 100 ms. */
    tick(now: number): void {
        if (this.large.size === 0) return;
        const { budget } = this.options;
        this.release(chooseLargeVictims(this.large, budget, now));
        for (const conn of chooseResumed(this.large, budget)) conn.resumeReading(now);
    }

    /** Makes room for a new connection; returns whether there is any. */
    admitConnection(): boolean {
        const { connections, maxConnections, budget } = this.options;
        const maxCount = Math.max(1, maxConnections());
        if (connections.size < maxCount) return true;
        const now = steadyNow();
        const candidates = [...connections].filter(conn =>
            !conn.isPending
            && (conn.holderState === "receiving"
                || conn.holderState === "idle" && now - conn.progressAt >= MIN_IDLE_MS)
        );
        candidates.sort((a, b) => rankOf(a) - rankOf(b) || a.progressAt - b.progressAt);
        const count = Math.max(1, Math.ceil(maxCount * CLOSED_SHARE));
        for (const conn of candidates.slice(0, count)) {
            this.report(conn, "connections");
            budget.closedConnections++;
            conn.destroy();
        }
        return connections.size - Math.min(count, candidates.length) < maxCount;
    }

    private closeUnread(): void {
        this.release(chooseUnreadResponses(this.large, this.options.budget));
    }

    private release(victims: readonly ClientConnection[]): void {
        for (const conn of victims) {
            this.report(conn, "memory");
            if (conn.releaseMemory() === "refused") this.countRefusal();
            else this.options.budget.closedConnections++;
        }
    }

    private report(conn: ClientConnection, cause: ReleaseEvent["cause"]): void {
        this.options.onReleased?.({ cause, state: conn.holderState, bytes: conn.heldBytes });
    }
}

/** Idle connections are closed before those with an incomplete request. */
function rankOf(conn: ClientConnection): number {
    return conn.holderState === "idle" ? 0 : 1;
}
