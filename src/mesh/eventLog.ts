/**
 * Structured log of decisions and changes, one JSON object a line. Each kind of line has a rate limit; what is left
 * out is counted and told with the next line of that kind. Lines are written in blocks without waiting, and dropped
 * when the reader is too slow.
 */
import pino from "pino";
import { steadyNow } from "./clock.ts";
import { createTraceFilter } from "./traceFilter.ts";
import type { TraceFilter } from "./traceFilter.ts";

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export interface EventLogOptions {
    /** Lines a second of one kind. */
    readonly ratePerKind?: number;
    /** Receives lines; standard output when left out. */
    readonly write?: (line: string) => void;
    /** Fields of every line. */
    readonly base?: LogFields;
    /** Which requests leave a line for each step, besides those for decisions against them. */
    readonly trace?: TraceFilter;
}

const DEFAULT_LINES_PER_SECOND = 20;
/** Lines a second of all traced requests together: a chain of eight calls leaves about sixty. */
const TRACE_LINES_PER_SECOND = 300;
const TRACE_BUCKET = "trace";
/** Bytes gathered before a write, and held at most for a reader that does not keep up. */
const MIN_WRITE_BYTES = 4096;
const MAX_BUFFERED_BYTES = 512 * 1024;
const FLUSH_INTERVAL_MS = 1000;
const FLUSH_TIMEOUT_MS = 100;

interface TokenBucket {
    tokens: number;
    refilledAt: number;
    suppressedLines: number;
}

export class EventLog {
    private readonly logger: pino.Logger;
    private readonly buckets = new Map<string, TokenBucket>();
    private readonly linesPerSecond: number;
    private readonly traceFilter: TraceFilter;
    private droppedBytes = 0;
    private readonly flushDestination: (onDone: () => void) => void;

    constructor(options: EventLogOptions = {}) {
        this.linesPerSecond = options.ratePerKind ?? DEFAULT_LINES_PER_SECOND;
        this.traceFilter = options.trace ?? createTraceFilter();
        const destination = options.write === undefined
            ? this.openStandardOutput()
            : { write: options.write };
        this.flushDestination = "flush" in destination
            ? onDone => destination.flush(onDone)
            : onDone => onDone();
        this.logger = pino(
            {
                base: options.base ?? {},
                timestamp: pino.stdTimeFunctions.epochTime,
                // The library's own name, level, is taken by the admission level of a request.
                formatters: { level: severity => ({ severity }) },
            },
            destination,
        );
    }

    /** A decision or change of this kind; within its rate limit it becomes a line. */
    event(kind: string, fields: LogFields): void {
        this.write(this.refilledBucket(kind, this.linesPerSecond), kind, fields);
    }

    /** Whether each step of a request becomes a line; asked once a request. */
    isTraced(requestId: string): boolean {
        return this.traceFilter(requestId);
    }

    /** A step of a traced request. */
    traceStep(kind: string, fields: LogFields): void {
        this.write(this.refilledBucket(TRACE_BUCKET, TRACE_LINES_PER_SECOND), kind, fields);
    }

    private write(bucket: TokenBucket, kind: string, fields: LogFields): void {
        if (bucket.tokens < 1) {
            bucket.suppressedLines++;
            return;
        }
        bucket.tokens--;
        const leftOut = bucket.suppressedLines === 0 ? undefined : bucket.suppressedLines;
        bucket.suppressedLines = 0;
        this.logger.info({ event: kind, ...fields, leftOut });
    }

    /** A line that the rate limit does not hold back: starts, stops, reloads, lost dependencies. */
    unlimitedEvent(kind: string, fields: LogFields): void {
        this.logger.info({ event: kind, ...fields });
    }

    /** Writes what is held; resolves after a bounded time, with whether the reader of the log took it all. */
    flush(): Promise<boolean> {
        return new Promise(resolve => {
            setTimeout(() => resolve(false), FLUSH_TIMEOUT_MS);
            this.flushDestination(() => resolve(true));
        });
    }

    private openStandardOutput(): ReturnType<typeof pino.destination> {
        const destination = pino.destination({
            dest: 1,
            sync: false,
            minLength: MIN_WRITE_BYTES,
            maxLength: MAX_BUFFERED_BYTES,
            periodicFlush: FLUSH_INTERVAL_MS,
        });
        destination.on("drop", (data: string) => {
            this.droppedBytes += data.length;
        });
        destination.on("error", () => undefined);
        return destination;
    }

    get dropped(): number {
        return this.droppedBytes;
    }

    private refilledBucket(kind: string, linesPerSecond: number): TokenBucket {
        const now = steadyNow();
        let bucket = this.buckets.get(kind);
        if (bucket === undefined) {
            bucket = { tokens: linesPerSecond, refilledAt: now, suppressedLines: 0 };
            this.buckets.set(kind, bucket);
        }
        bucket.tokens = Math.min(
            linesPerSecond,
            bucket.tokens + (now - bucket.refilledAt) * linesPerSecond / 1000,
        );
        bucket.refilledAt = now;
        return bucket;
    }
}
