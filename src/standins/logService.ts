/**
 * A small stand-in for the platform's append-only log service, with streams, offsets, long polling, retention, and
 * faults that tests can inject.
 */
import type { FastifyInstance } from "fastify";
import { fastify } from "fastify";
import type { Socket } from "node:net";
import * as v from "valibot";
import { safeParse } from "../parse.ts";
import type { Address } from "../types.ts";

const MAX_RECORD_BYTES = 4 * 1024 * 1024;
const MAX_WAIT_MS = 30_000;

const faultsSchema = v.strictObject({
    /** Responds with 503 to every request. Requests to `/faults` are exempt from this and from the delay. */
    outage: v.optional(v.boolean()),
    /** Delays every request by this many milliseconds. */
    slowMs: v.optional(v.pipe(v.number(), v.minValue(0))),
    /** Stores an append but closes the connection instead of responding: for every append, or for the next N. */
    loseAnswers: v.optional(v.union([v.boolean(), v.pipe(v.number(), v.integer(), v.minValue(0))])),
});

const querySchema = v.object({
    from: v.pipe(v.string(), v.regex(/^\d+$/), v.transform(Number)),
    wait: v.optional(v.pipe(v.string(), v.regex(/^\d+$/), v.transform(Number)), "0"),
    max: v.optional(v.pipe(v.string(), v.regex(/^[1-9]\d*$/), v.transform(Number)), "100"),
});

type Faults = v.InferOutput<typeof faultsSchema>;

interface StoredRecord {
    readonly record: unknown;
    readonly appendedAt: number;
}

interface Stream {
    firstOffset: number;
    readonly records: StoredRecord[];
    readonly waiters: Set<() => void>;
}

export interface LogServiceOptions {
    readonly address: Address;
    /** Records older than this are dropped. */
    readonly retentionMs?: number | undefined;
    /** Number of records that each stream keeps; older ones are dropped. */
    readonly retentionRecords?: number | undefined;
}

export interface LogTraffic {
    readonly received: number;
    readonly sent: number;
}

function addSocketTraffic(total: LogTraffic, socket: Socket): LogTraffic {
    return { received: total.received + socket.bytesRead, sent: total.sent + socket.bytesWritten };
}

export class LogService {
    private readonly app: FastifyInstance;
    private readonly streams = new Map<string, Stream>();
    private readonly opts: LogServiceOptions;
    private faults: Faults = {};
    private readonly sockets = new Set<Socket>();
    private closedConnectionTraffic: LogTraffic = { received: 0, sent: 0 };
    appends = 0;
    reads = 0;

    constructor(opts: LogServiceOptions) {
        this.opts = opts;
        this.app = fastify({ bodyLimit: MAX_RECORD_BYTES, forceCloseConnections: true });
        this.app.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => {
                this.sockets.delete(socket);
                this.closedConnectionTraffic = addSocketTraffic(this.closedConnectionTraffic, socket);
            });
        });
        this.app.addHook("onRequest", async (req, reply) => {
            if (req.url === "/faults") return;
            if (this.faults.slowMs !== undefined) await delay(this.faults.slowMs);
            if (this.faults.outage === true) await reply.code(503).send({ error: "outage" });
        });
        this.addRoutes();
    }

    async start(): Promise<void> {
        await this.app.listen(this.opts.address);
    }

    /** Bytes received and sent on all connections since the start. */
    traffic(): LogTraffic {
        return [...this.sockets].reduce(addSocketTraffic, this.closedConnectionTraffic);
    }

    async stop(): Promise<void> {
        this.wakeReaders();
        await this.app.close();
    }

    /** Replaces all faults; a fault that is left out ends. An outage also ends open long polls. */
    setFaults(faults: Faults): void {
        this.faults = faults;
        if (faults.outage === true) this.wakeReaders();
    }

    private wakeReaders(): void {
        for (const stream of this.streams.values()) stream.waiters.forEach(wake => wake());
    }

    /** Returns whether this append loses its response, and counts it against the number in `loseAnswers`. */
    private consumeResponseLoss(): boolean {
        const { loseAnswers } = this.faults;
        if (typeof loseAnswers !== "number") return loseAnswers === true;
        if (loseAnswers === 0) return false;
        this.faults = { ...this.faults, loseAnswers: loseAnswers - 1 };
        return true;
    }

    /** Appends a record without an HTTP request and returns its offset. */
    append(name: string, record: unknown): number {
        const stream = this.getOrCreateStream(name);
        stream.records.push({ record, appendedAt: Date.now() });
        this.appends++;
        stream.waiters.forEach(wake => wake());
        return this.tailOf(stream) - 1;
    }

    private addRoutes(): void {
        this.app.post("/streams/:stream/records", async (req, reply) => {
            const offset = this.append((req.params as { stream: string; }).stream, req.body);
            if (this.consumeResponseLoss()) {
                reply.hijack();
                // Destroying the request instead would leave the socket open, since its body has been read.
                req.raw.socket.destroy();
                return reply;
            }
            return reply.send({ offset });
        });
        this.app.get("/streams/:stream/records", async (req, reply) => {
            const stream = this.getOrCreateStream((req.params as { stream: string; }).stream);
            const query = safeParse(querySchema, req.query, ["query"]);
            if (!query.success) return reply.code(400).send({ issues: query.issues });
            this.reads++;
            const { from, wait, max } = query.value;
            if (from >= this.tailOf(stream)) await this.waitForRecord(stream, Math.min(wait, MAX_WAIT_MS));
            if (this.faults.outage === true) return reply.code(503).send({ error: "outage" });
            this.dropExpired(stream);
            const tail = this.tailOf(stream);
            if (from < stream.firstOffset) {
                return reply.code(410).send({ first: stream.firstOffset, next: tail });
            }
            const start = Math.min(from, tail) - stream.firstOffset;
            const records = stream.records.slice(start, start + max)
                .map(({ record }, index) => ({ offset: stream.firstOffset + start + index, record }));
            return { first: stream.firstOffset, next: Math.min(from, tail) + records.length, tail, records };
        });
        this.app.post("/faults", async (req, reply) => {
            const faults = safeParse(faultsSchema, req.body, ["faults"]);
            if (!faults.success) return reply.code(400).send({ issues: faults.issues });
            this.setFaults(faults.value);
            return faults.value;
        });
    }

    private getOrCreateStream(name: string): Stream {
        let stream = this.streams.get(name);
        if (stream === undefined) {
            stream = { firstOffset: 0, records: [], waiters: new Set() };
            this.streams.set(name, stream);
        }
        return stream;
    }

    private tailOf(stream: Stream): number {
        return stream.firstOffset + stream.records.length;
    }

    private dropExpired(stream: Stream): void {
        const { retentionMs = Infinity, retentionRecords = Infinity } = this.opts;
        const { records } = stream;
        const minAppendedAt = Date.now() - retentionMs;
        while (
            records.length > retentionRecords
            || (records.length > 0 && records[0]!.appendedAt < minAppendedAt)
        ) {
            records.shift();
            stream.firstOffset++;
        }
    }

    private waitForRecord(stream: Stream, waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                stream.waiters.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, waitMs);
            stream.waiters.add(wake);
        });
    }
}

function delay(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
