/** What a node needs of the platform's store. The adapter of a platform implements it. */
import type { NodeRecord } from "./types.ts";

export interface ControlStoreListener {
    /** A configuration as the operator wrote it; it may be older than one seen before. */
    onConfig(encoded: Buffer): void;
    /** A node's record, in the form given to `publish`; `undefined` when it was removed. */
    onNode(name: string, record: unknown): void;
}

export interface ControlStore {
    start(listener: ControlStoreListener): void;
    /** Writes this node's record, or removes it; the newest call wins, and a failed write is tried again. */
    publish(name: string, record: NodeRecord | undefined): void;
    stop(): void;
}
