/** The phases of a node's graceful shutdown: what it still accepts, and when it has drained. */
import { steadyNow } from "./clock.ts";

export interface GracefulStopOptions {
    /** Time in ms from the stop signal until the process is killed. */
    readonly graceMs: number;
    /** Whether no request is in progress. */
    readonly isIdle: () => boolean;
}

/** A stopping node runs at least this long, since clients send to it until two readiness checks have failed. */
const MIN_SHUTDOWN_MS = 2300;
/**
 * Share of the grace period in which a stopping node still accepts runs from other nodes, since its target keeps
 * running and can be reached only through this node. Accepted runs have the rest of the period to complete.
 */
const SHUTDOWN_PEER_RUNS_SHARE = 1 / 3;
/** Client requests that arrive later than this after the stop signal are refused: clients no longer send to the node. */
const SHUTDOWN_REFUSE_CLIENTS_AFTER_MS = 2900;
/** A stopping node accepts a request only if this many times the mean latency of its route is left. */
const LATENCY_MARGIN = 1.25;
/** A stopping node closes about this long before the end of the grace period, since the exit takes time. */
const SHUTDOWN_RESERVE_MS = 800;
const DRAIN_CHECK_INTERVAL_MS = 50;

export class GracefulStop {
    private startedAt: number | undefined;
    private refuseRunsTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: GracefulStopOptions) {}

    get isStopping(): boolean {
        return this.startedAt !== undefined;
    }

    /** Starts the shutdown. `onRefuseRuns` is called when runs from other nodes are to be refused. */
    begin(onRefuseRuns: () => void): void {
        this.startedAt = steadyNow();
        this.refuseRunsTimer = setTimeout(onRefuseRuns, this.options.graceMs * SHUTDOWN_PEER_RUNS_SHARE);
    }

    /** Whether client requests that take about `expectedMs` might outlast this stopping process. */
    isRefusingClients(expectedMs: number): boolean {
        if (this.startedAt === undefined) return false;
        const elapsed = steadyNow() - this.startedAt;
        const leftMs = this.options.graceMs - SHUTDOWN_RESERVE_MS - elapsed;
        return elapsed > SHUTDOWN_REFUSE_CLIENTS_AFTER_MS || leftMs < expectedMs * LATENCY_MARGIN;
    }

    /** Resolves when idle, at the earliest after `MIN_SHUTDOWN_MS`, or `SHUTDOWN_RESERVE_MS` before the period ends. */
    waitUntilDrained(): Promise<void> {
        return new Promise(resolve => {
            const timer = setInterval(() => {
                const elapsed = steadyNow() - this.startedAt!;
                const mustEnd = elapsed > this.options.graceMs - SHUTDOWN_RESERVE_MS;
                if (!mustEnd && !(this.options.isIdle() && elapsed > MIN_SHUTDOWN_MS)) return;
                clearInterval(timer);
                resolve();
            }, DRAIN_CHECK_INTERVAL_MS);
        });
    }

    close(): void {
        clearTimeout(this.refuseRunsTimer);
    }
}
