/** A fake of the log service for the reducer's effects, with retention, outages and lost responses. */
import type { LogRecord } from "../../src/logRecords.ts";

export interface ReadRecords {
    readonly first: number;
    readonly next: number;
    readonly tail: number;
    readonly records: readonly { readonly offset: number; readonly record: LogRecord; }[];
}

export class FakeLog {
    outage = false;
    /** Whether the responses to appends are lost. The records are stored. */
    loseAnswers = false;
    /** Delay of every response, in ms. */
    slowMs = 0;
    first = 0;
    appends = 0;
    reads = 0;
    private readonly records: LogRecord[] = [];
    private readonly waiters = new Set<() => void>();

    get tail(): number {
        return this.first + this.records.length;
    }

    append(record: LogRecord): number {
        this.appends++;
        this.records.push(record);
        const waiting = [...this.waiters];
        this.waiters.clear();
        waiting.forEach(wake => wake());
        return this.tail - 1;
    }

    /** Expires all records before an offset. */
    expireBefore(offset: number): void {
        const dropped = this.records.splice(0, Math.max(0, offset - this.first));
        this.first += dropped.length;
    }

    read(from: number, max = 200): ReadRecords {
        this.reads++;
        const start = Math.max(0, from - this.first);
        const records = this.records.slice(start, start + max)
            .map((record, index) => ({ offset: this.first + start + index, record }));
        return {
            first: this.first,
            next: Math.max(from, this.first) + records.length,
            tail: this.tail,
            records,
        };
    }

    /** Calls back once at the next append. Returns a function that unsubscribes. */
    onAppend(wake: () => void): () => void {
        this.waiters.add(wake);
        return () => this.waiters.delete(wake);
    }
}
