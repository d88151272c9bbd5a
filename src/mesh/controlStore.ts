/** Interface of the platform's store as a node uses it; implemented by the adapter of each platform. */
import type { NodeRecord } from "./types.ts";

export interface ControlStoreListener {
    /** Called with a configuration as the operator wrote it; it may be older than one delivered before. */
    onConfig(encoded: Buffer): void;
    /** Called with a node's record as given to `publish`, or `undefined` when it was removed. */
    onNode(name: string, record: unknown): void;
}

export interface ControlStore {
    start(listener: ControlStoreListener): void;
    /** Writes this node's record; `undefined` removes it. The latest call wins; failed writes are retried. */
    publish(name: string, record: NodeRecord | undefined): void;
    stop(): void;
}
