/**
 * A small stand-in for the platform's append-only log service: streams with offsets, long polls, retention,
 * and faults that tests switch on.
 */
import type { FastifyInstance } from "fastify";
import { fastify } from "fastify";
import type { Socket } from "node:net";
import * as v from "valibot";
import { safeParse } from "../parse.ts";
import type { Address } from "../types.ts";

const RECORD_LIMIT_BYTES = 4 * 1024 * 1024;
const WAIT_LIMIT_MS = 30_000;

const faultsSchema = v.strictObject({
    /** Refuse every request with 503. */
    outage: v.optional(v.boolean()),
    /** Delay of every answer. */
    slowMs: v.optional(v.pipe(v.number(), v.minValue(0))),
    /** Store appends but break the connection before the answer: every one, or the next N. */
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
    readonly at: number;
}

interface Stream {
    first: number;
    readonly records: StoredRecord[];
    readonly waiters: Set<() => void>;
}

export interface LogServiceOptions {
    readonly address: Address;
    /** Records older than this are dropped. */
    readonly retentionMs?: number | undefined;
    /** Older records than this many are dropped. */
    readonly retentionRecords?: number | undefined;
}

export interface LogTraffic {
    readonly received: number;
    readonly sent: number;
}

function addBytes(sum: LogTraffic, socket: Socket): LogTraffic {
    return { received: sum.received + socket.bytesRead, sent: sum.sent + socket.bytesWritten };
}

export class LogService {
    private readonly app: FastifyInstance;
    private readonly streams = new Map<string, Stream>();
    private readonly opts: LogServiceOptions;
    private faults: Faults = {};
    private readonly sockets = new Set<Socket>();
    private closedBytes: LogTraffic = { received: 0, sent: 0 };
    appends = 0;
    reads = 0;

    constructor(opts: LogServiceOptions) {
        this.opts = opts;
        this.app = fastify({ bodyLimit: RECORD_LIMIT_BYTES, forceCloseConnections: true });
        this.app.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => {
                this.sockets.delete(socket);
                this.closedBytes = addBytes(this.closedBytes, socket);
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

    /** Bytes of all connections so far. */
    traffic(): LogTraffic {
        return [...this.sockets].reduce(addBytes, this.closedBytes);
    }

    async stop(): Promise<void> {
        this.wakeAll();
        await this.app.close();
    }

    /** Sets all faults; those that are left out end. An outage also ends the long polls that are open. */
    setFaults(faults: Faults): void {
        this.faults = faults;
        if (faults.outage === true) this.wakeAll();
    }

    private wakeAll(): void {
        for (const stream of this.streams.values()) stream.waiters.forEach(wake => wake());
    }

    private takeLostAnswer(): boolean {
        const { loseAnswers } = this.faults;
        if (typeof loseAnswers !== "number") return loseAnswers === true;
        if (loseAnswers === 0) return false;
        this.faults = { ...this.faults, loseAnswers: loseAnswers - 1 };
        return true;
    }

    /** Appends a record in the same process and returns its offset. */
    append(name: string, record: unknown): number {
        const stream = this.stream(name);
        stream.records.push({ record, at: Date.now() });
        this.appends++;
        stream.waiters.forEach(wake => wake());
        return this.tailOf(stream) - 1;
    }

    private addRoutes(): void {
        this.app.post("/streams/:stream/records", async (req, reply) => {
            const offset = this.append((req.params as { stream: string; }).stream, req.body);
            if (this.takeLostAnswer()) {
                reply.hijack();
                // Destroying the request would leave the socket open once its body has been read.
                req.raw.socket.destroy();
                return reply;
            }
            return reply.send({ offset });
        });
        this.app.get("/streams/:stream/records", async (req, reply) => {
            const stream = this.stream((req.params as { stream: string; }).stream);
            const query = safeParse(querySchema, req.query, ["query"]);
            if (!query.success) return reply.code(400).send({ issues: query.issues });
            this.reads++;
            const { from, wait, max } = query.value;
            if (from >= this.tailOf(stream)) await this.waitForRecord(stream, Math.min(wait, WAIT_LIMIT_MS));
            if (this.faults.outage === true) return reply.code(503).send({ error: "outage" });
            this.expire(stream);
            const tail = this.tailOf(stream);
            if (from < stream.first) return reply.code(410).send({ first: stream.first, next: tail });
            const start = Math.min(from, tail) - stream.first;
            const records = stream.records.slice(start, start + max)
                .map(({ record }, index) => ({ offset: stream.first + start + index, record }));
            return { first: stream.first, next: Math.min(from, tail) + records.length, tail, records };
        });
        this.app.post("/faults", async (req, reply) => {
            const faults = safeParse(faultsSchema, req.body, ["faults"]);
            if (!faults.success) return reply.code(400).send({ issues: faults.issues });
            this.setFaults(faults.value);
            return faults.value;
        });
    }

    private stream(name: string): Stream {
        let stream = this.streams.get(name);
        if (stream === undefined) {
            stream = { first: 0, records: [], waiters: new Set() };
            this.streams.set(name, stream);
        }
        return stream;
    }

    private tailOf(stream: Stream): number {
        return stream.first + stream.records.length;
    }

    private expire(stream: Stream): void {
        const { retentionMs = Infinity, retentionRecords = Infinity } = this.opts;
        const { records } = stream;
        const oldest = Date.now() - retentionMs;
        while (records.length > retentionRecords || (records.length > 0 && records[0]!.at < oldest)) {
            records.shift();
            stream.first++;
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
