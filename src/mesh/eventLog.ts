/**
 * Structured log of decisions and changes, one JSON object per line. Each kind of event has a rate limit, and all steps
 * of traced requests share another one; only `unlimitedEvent` has none. Suppressed lines are counted, and the next line
 * under the same limit reports their number. Lines are buffered and written asynchronously in blocks; they are dropped
 * when the reader of standard output is too slow.
 */
import pino from "pino";
import { steadyNow } from "./clock.ts";
import { createTraceFilter } from "./traceFilter.ts";
import type { TraceFilter } from "./traceFilter.ts";

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export interface EventLogOptions {
    /** Maximum number of lines per second of each kind; does not apply to steps of traced requests. */
    readonly ratePerKind?: number;
    /** Receives each line; writes to standard output by default. */
    readonly write?: (line: string) => void;
    /** Fields added to every line. */
    readonly base?: LogFields;
    /** Selects the requests of which every step is logged, not only refusals, failures, retries and cancellations. */
    readonly trace?: TraceFilter;
}

const DEFAULT_LINES_PER_SECOND = 20;
/** Limit for all traced requests together; a request with a chain of eight calls logs about 60 lines. */
const TRACE_LINES_PER_SECOND = 300;
const TRACE_BUCKET = "trace";
/** Number of bytes that are buffered before a write. */
const MIN_WRITE_BYTES = 4096;
/** Maximum number of bytes buffered for a slow reader; further lines are dropped. */
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
    private droppedCharacters = 0;
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
                // The default field name `level` is taken: it holds the admission level of a request.
                formatters: { level: severity => ({ severity }) },
            },
            destination,
        );
    }

    /** Logs a decision or change, within the rate limit of its kind. */
    event(kind: string, fields: LogFields): void {
        this.write(this.refilledBucket(kind, this.linesPerSecond), kind, fields);
    }

    /** Whether each step of a request is logged. Called once for each call and once for each run. */
    isTraced(requestId: string): boolean {
        return this.traceFilter(requestId);
    }

    /** Logs a step of a traced request, within the rate limit for all traced requests. */
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

    /** Logs an event without a rate limit. Used for rare events such as starts, stops and new configurations. */
    unlimitedEvent(kind: string, fields: LogFields): void {
        this.logger.info({ event: kind, ...fields });
    }

    /** Writes all buffered lines; resolves to false if the reader did not accept them within the timeout. */
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
            this.droppedCharacters += data.length;
        });
        destination.on("error", () => undefined);
        return destination;
    }

    /** Number of characters dropped because the reader of standard output was too slow. */
    get dropped(): number {
        return this.droppedCharacters;
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
