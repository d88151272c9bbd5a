/** HTTP client of the platform's log service: appends records and reads them with long polls. */
import { Pool } from "undici";
import { LogServiceError, messageOf } from "./errors.ts";
import type { LogRecord } from "./logRecords.ts";
import { safeParse, safeParseLogRecord } from "./parse.ts";
import { logBatchSchema } from "./schemas.ts";

const APPEND_TIMEOUT_MS = 2_000;
const READ_TIMEOUT_MARGIN_MS = 2_000;
const MAX_BATCH_RECORDS = 200;
const MAX_CONNECTIONS = 4;

export interface LogBatch {
    /** First offset that the log still retains. */
    readonly first: number;
    /** Offset from which to read the next batch. */
    readonly next: number;
    /** Offset that the next appended record will get. */
    readonly tail: number;
    /** Does not contain records that could not be parsed; `next` skips them. */
    readonly records: readonly { readonly offset: number; readonly record: LogRecord; }[];
    /** Number of records that could not be parsed. */
    readonly malformed: number;
}

export type ReadResult =
    | { readonly type: "batch"; readonly batch: LogBatch; }
    /** The log no longer retains the requested offset. Here `next` is the tail, not the end of a batch. */
    | { readonly type: "gone"; readonly first: number; readonly next: number; };

export class LogClient {
    private readonly pool: Pool;

    private readonly onBytes: (direction: "sent" | "received", bytes: number) => void;

    constructor(
        url: string,
        onBytes: (direction: "sent" | "received", bytes: number) => void = () => undefined,
    ) {
        this.onBytes = onBytes;
        this.pool = new Pool(url, { connections: MAX_CONNECTIONS });
    }

    /** Appends a record and returns its offset. When this fails, the record may still have been appended. */
    async append(record: LogRecord): Promise<number> {
        const body = await this.request(
            "POST",
            "/streams/control/records",
            APPEND_TIMEOUT_MS,
            JSON.stringify(record),
        );
        const offset = (body.json as { offset?: unknown; }).offset;
        if (body.status !== 200 || typeof offset !== "number") {
            throw createError(`append returned status ${body.status}`);
        }
        return offset;
    }

    async read(fromOffset: number, waitMs: number): Promise<ReadResult> {
        const path = `/streams/control/records?from=${fromOffset}&wait=${waitMs}&max=${MAX_BATCH_RECORDS}`;
        const { status, json } = await this.request("GET", path, waitMs + READ_TIMEOUT_MARGIN_MS);
        if (status === 410) {
            const { first, next } = json as { first: number; next: number; };
            return { type: "gone", first, next };
        }
        const parsed = safeParse(logBatchSchema, json);
        if (status !== 200 || !parsed.success) throw createError(`read returned status ${status}`);
        const records = parsed.value.records.flatMap(({ offset, record }) => {
            const result = safeParseLogRecord(record);
            return result.success ? [{ offset, record: result.value }] : [];
        });
        const { first, next, tail } = parsed.value;
        return {
            type: "batch",
            batch: { first, next, tail, records, malformed: parsed.value.records.length - records.length },
        };
    }

    private async request(
        method: "GET" | "POST",
        path: string,
        timeoutMs: number,
        body?: string,
    ): Promise<{ readonly status: number; readonly json: unknown; }> {
        this.onBytes("sent", path.length + (body === undefined ? 0 : Buffer.byteLength(body)));
        try {
            const response = await this.pool.request({
                method,
                path,
                body: body ?? null,
                headers: { "content-type": "application/json" },
                signal: AbortSignal.timeout(timeoutMs),
            });
            const text = await response.body.text();
            this.onBytes("received", Buffer.byteLength(text));
            return { status: response.statusCode, json: JSON.parse(text) as unknown };
        }
        catch (err) {
            throw createError(messageOf(err));
        }
    }

    async close(): Promise<void> {
        await this.pool.destroy();
    }
}

function createError(message: string): LogServiceError {
    return new LogServiceError([{ code: "log-service", path: [], message: `log service: ${message}` }]);
}
