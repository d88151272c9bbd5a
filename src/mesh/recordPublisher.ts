/**
 * Keeps this node's record in the control store: stores it when its address or target is new, and again if a late write
 * of an earlier process has overwritten it or another node has removed it. The `ControlStore` writes it again after the
 * store has gone back to an older copy.
 */
import { safeParseNodeRecord } from "./nodeDirectory.ts";
import { isSameTarget } from "./targetRecords.ts";
import type { NodeRecord } from "./types.ts";

export interface RecordPublisherOptions {
    readonly name: string;
    /** Unix time in ms at which this process started. */
    readonly startedAt: number;
    readonly ownRecord: () => NodeRecord;
    readonly isStopping: () => boolean;
    readonly publish: (record: NodeRecord) => void;
    /** Called with the record that an earlier process of this node stored. */
    readonly onEarlierRecord: (record: NodeRecord) => void;
}

export class RecordPublisher {
    /** This node's record as it was last read from the store or written to it. */
    private storedRecord: NodeRecord | undefined;

    constructor(private readonly options: RecordPublisherOptions) {}

    /**
     * Stores this node's record if its address or target is new. A node that stops after its target has left stores that,
     * too: other nodes then forget it, but its next process needs to know, since the target may still run.
     */
    publish(): void {
        const own = this.options.ownRecord();
        const { target } = own;
        const isStopping = this.options.isStopping();
        // A stopping node stores a target only if it is no longer ready, so that the next process does not restore it.
        if (isStopping && target?.state === "ready") return;
        const hasLeft = isStopping && target?.state === "gone" || undefined;
        const record = { ...own, isRefusingRuns: undefined, hasLeft };
        const { storedRecord: stored } = this;
        const isStored = stored?.address === record.address && isSameTarget(stored.target, target)
            && stored.hasLeft === hasLeft;
        if (isStored) return;
        this.storedRecord = record;
        this.options.publish(record);
    }

    /**
     * Handles this node's record as read from the store. If a write of an earlier process was executed late, after a write
     * of this process, the record of this process is stored again. So it is if `input` is `undefined`: another node has
     * removed the record of an earlier process, and the store went back to an older copy at that moment.
     */
    onStored(input: unknown): void {
        if (input === undefined) {
            // A record of an earlier process that was removed is of no use any more.
            const wasOwn = this.storedRecord?.startedAt === this.options.startedAt;
            this.storedRecord = undefined;
            if (wasOwn) this.publish();
            return;
        }
        const record = safeParseNodeRecord(input);
        const { name, startedAt } = this.options;
        if (record?.name !== name || record.startedAt === startedAt) return;
        const isOverwritten = this.storedRecord !== undefined;
        this.storedRecord = record;
        this.options.onEarlierRecord(record);
        if (isOverwritten) this.publish();
    }
}
