/**
 * How often a node sends control messages to all others. Every node receives those of every other one, so with a fixed
 * interval the cost of each node would grow with their number; here it is bounded for large meshes.
 */

/** Interval of pings on an idle connection in a small mesh. */
const MIN_IDLE_KEEPALIVE_MS = 4000;
/** Additional interval per node: a node sends at most 25 pings/s, and receives as many. */
const IDLE_KEEPALIVE_PER_NODE_MS = 40;
/** Minimum time between two broadcasts of a cutoff, per node: a node receives at most 500/s. */
const CUTOFF_INTERVAL_PER_NODE_MS = 2;
/** A cutoff that is older than this would no longer describe the load. */
const MAX_CUTOFF_INTERVAL_MS = 500;

/** Time in ms without received data after which a node pings a connection that it opened. */
export function idleKeepaliveMs(nodeCount: number): number {
    return Math.max(MIN_IDLE_KEEPALIVE_MS, nodeCount * IDLE_KEEPALIVE_PER_NODE_MS);
}

/** Limits how often a node sends its changed cutoff. */
export class CutoffBroadcast {
    private lastSent: number;
    private sentAt = -Infinity;

    /** `highest`: the cutoff without overload, which the other nodes assume at first. */
    constructor(private readonly highest: number) {
        this.lastSent = highest;
    }

    /** Whether to send the cutoff now. The beginning and the end of an overload are sent at once. */
    isDue(cutoff: number, nodeCount: number, now: number): boolean {
        if (cutoff === this.lastSent) return false;
        const intervalMs = Math.min(MAX_CUTOFF_INTERVAL_MS, nodeCount * CUTOFF_INTERVAL_PER_NODE_MS);
        const isChangeOfState = cutoff === this.highest || this.lastSent === this.highest;
        if (!isChangeOfState && now - this.sentAt < intervalMs) return false;
        this.lastSent = cutoff;
        this.sentAt = now;
        return true;
    }
}
