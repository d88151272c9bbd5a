/**
 * Interface to the platform's store of configurations and node records. An adapter for each platform implements it.
 */
import type { StoreRole } from "../policy/storeRole.ts";
import type { NodeRecord } from "./types.ts";

export interface ControlStoreListener {
    /** Called with a configuration as the operator wrote it, which may be older than one delivered before. */
    onConfig(encoded: Buffer): void;
    /**
     * Called with a node's record as given to `publish`, or with `undefined` when the record was removed. `mayBeOlder`:
     * the store has gone back to an older copy of its records, so the record may be older than one delivered before.
     */
    onNode(name: string, record: unknown, mayBeOlder: boolean): void;
    /** Record of a node that has left, with its last target, if the node has left since it stored `record`. */
    departureSince(record: unknown): NodeRecord | undefined;
    /** Called when the store is in a new era of which no other node has told this one. */
    onNewEra(): void;
    /** Called after the records of all nodes have been delivered once. */
    onNodesRead(): void;
    /** Called when reads begin to fail, and when one succeeds again. */
    onReachable(isReachable: boolean): void;
    /** Whether this node follows the store, at this moment. */
    role(): StoreRole;
    /** Whether this node has a configuration, from wherever. */
    hasConfig(): boolean;
}

export interface ControlStore {
    /** Rises when the store goes back to an older copy of its records; `undefined` if the store does not state it. */
    readonly era: number | undefined;
    start(listener: ControlStoreListener): void;
    /** Handles the era that another node has read from the store. */
    onReportedEra(era: number): void;
    /** Writes this node's record; `undefined` removes it. The latest call wins; failed writes are retried. */
    publish(name: string, record: NodeRecord | undefined): void;
    stop(): void;
}
