/**
 * Decides which nodes follow the control store. A few of them do and tell all others of a new configuration; the others
 * rest. Without this, each change would wake one pending read of every node, so the requests to the store would grow
 * with the number of nodes times the number of changes.
 *
 * The followers are the nodes with the lowest ranks that are connected and have not reported that they cannot read the
 * store. Nodes decide independently; as long as they know different nodes, more of them follow than necessary. A node
 * that loses its connections follows the store itself.
 */
import { fnv1aHash } from "./admissionLevel.ts";

export interface StorePeer {
    readonly rank: number;
    readonly isConnected: boolean;
    readonly isSelf: boolean;
    /** False once the node has reported that it cannot read the store. */
    readonly canReadStore: boolean;
}

export type StoreRole =
    /**
     * Keep a read pending, for up to `waitMs`. `isStandby`: only because nodes with lower ranks cannot read the store.
     * `isFirst`: no connected node has a lower rank, so this one also removes records that nobody needs.
     */
    | {
        readonly kind: "follow";
        readonly waitMs: number;
        readonly isStandby: boolean;
        readonly isFirst: boolean;
    }
    | { readonly kind: "rest"; };

/** With fewer, a partial outage of the store could affect all followers. */
const MIN_FOLLOWERS = 24;
/**
 * Number of followers that watch the store, i.e. whose reads wait for a short time only. Connections can go silent
 * without an end; a follower detects that at the end of its wait. The watchers do so in time for all nodes.
 */
const WATCHER_COUNT = 3;
/** Longest wait of a watcher's read: with the response timeout, less than the 3 s after which a node must be up to date. */
const WATCHER_WAIT_MS = 1500;
/** Longest wait of the other followers while every node follows the store. */
const LONG_WAIT_MS = 20_000;
/** Longest wait of the other followers while nodes that rest depend on them. */
const SHORT_WAIT_MS = 10_000;

/** Rank of a node among those that may follow the store: the same on all nodes, independent of where the node runs. */
export function storeRankOf(nodeName: string): number {
    return fnv1aHash(nodeName) >>> 0;
}

/** Number of nodes that follow the store, of all nodes. */
export function followerCountOf(nodeCount: number): number {
    return Math.max(MIN_FOLLOWERS, Math.ceil(Math.sqrt(nodeCount)));
}

/** `ownRank`: see `storeRankOf`; `peers`: the known nodes, with or without this one. */
export function storeRoleOf(ownRank: number, peers: Iterable<StorePeer>): StoreRole {
    let nodeCount = 0;
    let ahead = 0;
    let readersAhead = 0;
    for (const { rank, isConnected, isSelf, canReadStore } of peers) {
        nodeCount++;
        if (isSelf || !isConnected || rank >= ownRank) continue;
        ahead++;
        if (canReadStore) readersAhead++;
    }
    const followerCount = followerCountOf(nodeCount);
    if (readersAhead >= followerCount) return { kind: "rest" };
    const followerWaitMs = nodeCount > followerCount ? SHORT_WAIT_MS : LONG_WAIT_MS;
    const waitMs = readersAhead < WATCHER_COUNT ? WATCHER_WAIT_MS : followerWaitMs;
    return { kind: "follow", waitMs, isStandby: ahead >= followerCount, isFirst: ahead === 0 };
}
