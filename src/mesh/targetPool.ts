/**
 * Connections to the target beside this node. One request at a time uses a connection; an answer is matched by its
 * request id, since a faulty target may send more than it was asked for.
 */
import net from "node:net";
import type { ResponseHead } from "../http/messageHead.ts";
import { HttpSyntaxError, MessageReader } from "../http/messageReader.ts";
import type { HttpMessage } from "../http/messageReader.ts";
import { steadyNow } from "./clock.ts";
import type { TargetProtocol } from "./protocol.ts";
import type { FailureReason } from "./types.ts";

export type Reply =
    | { readonly kind: "response"; readonly head: ResponseHead; readonly body: Buffer; }
    /** Nothing was sent: the connection could not be opened. */
    | { readonly kind: "unreachable"; }
    /** `detail` says for the log what was wrong with the answer. */
    | { readonly kind: "lost"; readonly reason: FailureReason; readonly detail?: string; };

/** A request that was sent. */
export interface Sending {
    breakOff(): void;
    /** Whether an answer has begun that is not complete yet. */
    isAnswering(): boolean;
}

export interface Exchange {
    readonly requestId: string;
    readonly method: string;
    readonly bytes: Buffer;
    readonly isIdempotent: boolean;
    readonly onReply: (reply: Reply) => void;
}

/** An idle connection this old is not used for a request that must not be repeated: it may have been dropped. */
const UNSAFE_REUSE_MS = 1500;
/** Part of the announced idle time after which a connection is not used any more. */
const REUSE_SHARE = 0.8;
const DEFAULT_IDLE_MS = 8000;
const CONNECT_TIMEOUT_MS = 400;
/** Shared by all connections to the target: what is read is copied before the next read. */
const READ_BUFFER = Buffer.allocUnsafeSlow(64 * 1024);
const LIMITS = { maxHeadBytes: 64 * 1024, maxBodyBytes: 16 * 1024 * 1024 };
/** Bytes of all answers that are being read; a node has 128 MB, and an answer is copied when it is passed on. */
const MAX_READING_BYTES = 32 * 1024 * 1024;
/** Interim answers and answers to other requests that are passed over before a request's own. */
const MAX_PASSED_OVER = 16;

export interface TargetPoolOptions {
    readonly host: string;
    readonly port: number;
    readonly protocol: TargetProtocol;
}

class TargetConnection {
    readonly socket: net.Socket;
    idleSince = 0;
    idleTimeoutMs = DEFAULT_IDLE_MS;
    current: Exchange | undefined;
    /** Bytes of the answer that is being read. */
    readingBytes = 0;
    private readonly reader: MessageReader<ResponseHead>;
    private isOpen = false;
    private passedOver = 0;

    constructor(private readonly options: TargetPoolOptions, private readonly pool: TargetPool) {
        this.reader = new MessageReader<ResponseHead>(options.protocol.parseResponse, LIMITS);
        this.socket = net.connect({
            host: options.host,
            port: options.port,
            onread: { buffer: READ_BUFFER, callback: bytes => this.onRead(bytes) },
        });
        this.socket.setTimeout(CONNECT_TIMEOUT_MS, () => this.socket.destroy());
        this.socket.on("connect", () => this.onConnect());
        this.socket.on("end", () => this.onEnd());
        this.socket.on("error", () => this.socket.destroy());
        this.socket.on("close", () => this.onClose());
    }

    start(exchange: Exchange): void {
        this.current = exchange;
        this.passedOver = 0;
        this.reader.isBodyless = exchange.method === "HEAD";
        if (this.isOpen) this.socket.write(exchange.bytes);
    }

    get isAnswering(): boolean {
        return this.reader.isMidMessage;
    }

    /** Ends the exchange, since its answer cannot be used. */
    fail(detail: string): void {
        const exchange = this.current;
        this.current = undefined;
        this.socket.destroy();
        exchange?.onReply({ kind: "lost", reason: "bad-answer", detail });
    }

    private onConnect(): void {
        this.isOpen = true;
        this.socket.setTimeout(0);
        if (this.current !== undefined) this.socket.write(this.current.bytes);
    }

    private onRead(bytes: number): boolean {
        if (this.current === undefined) {
            this.socket.destroy();
            return false;
        }
        this.reader.feed(Buffer.from(READ_BUFFER.subarray(0, bytes)));
        this.read(() => this.reader.next());
        this.pool.noteReading(this, this.current === undefined ? 0 : this.reader.bufferedBytes);
        return true;
    }

    private onEnd(): void {
        this.read(() => this.reader.end());
        this.socket.destroy();
    }

    private read(next: () => HttpMessage<ResponseHead> | undefined): void {
        try {
            for (let message = next(); message !== undefined; message = next()) {
                if (this.take(message)) return;
            }
        }
        catch (err) {
            if (!(err instanceof HttpSyntaxError)) throw err;
            this.fail(err.message);
        }
    }

    /** Returns whether the exchange is over. Interim answers and answers to other requests are passed over. */
    private take({ head, body }: HttpMessage<ResponseHead>): boolean {
        const exchange = this.current;
        if (exchange === undefined) return true;
        if (head.status < 200 || head.requestId !== undefined && head.requestId !== exchange.requestId) {
            if (++this.passedOver <= MAX_PASSED_OVER) return false;
            this.fail("too many answers before its own");
            return true;
        }
        if (!this.isWhole(head, body)) {
            this.fail("body of another length than its seal states");
            return true;
        }
        this.current = undefined;
        const isReusable = head.keepAlive && head.framing.kind !== "until-close" && !this.reader.isMidMessage;
        if (head.idleTimeoutMs !== undefined) this.idleTimeoutMs = head.idleTimeoutMs * REUSE_SHARE;
        if (isReusable) this.pool.release(this);
        else this.socket.destroy();
        exchange.onReply({ kind: "response", head, body });
        return true;
    }

    private isWhole({ framing, seal }: ResponseHead, body: Buffer): boolean {
        if (framing.kind !== "until-close" || seal === undefined) return true;
        return this.options.protocol.isSealedLength(seal, body.length);
    }

    private onClose(): void {
        this.pool.forget(this);
        const exchange = this.current;
        this.current = undefined;
        exchange?.onReply(
            this.isOpen ? { kind: "lost", reason: "connection-lost" } : { kind: "unreachable" },
        );
    }
}

export class TargetPool {
    private readonly idle: TargetConnection[] = [];
    private readonly all = new Set<TargetConnection>();
    private reading = 0;

    constructor(private readonly options: TargetPoolOptions) {}

    /** Bytes held of all answers that are being read. */
    get readingBytes(): number {
        return this.reading;
    }

    send(exchange: Exchange): Sending {
        const conn = this.takeIdle(exchange.isIdempotent) ?? this.open();
        conn.start(exchange);
        return {
            breakOff: () => {
                if (conn.current !== exchange) return;
                conn.current = undefined;
                conn.socket.destroy();
            },
            isAnswering: () => conn.current === exchange && conn.isAnswering,
        };
    }

    /** Notes what a connection holds of an answer; above the bound of all, the largest one is given up. */
    noteReading(conn: TargetConnection, bytes: number): void {
        this.reading += bytes - conn.readingBytes;
        conn.readingBytes = bytes;
        if (this.reading <= MAX_READING_BYTES) return;
        let largest = conn;
        for (const other of this.all) if (other.readingBytes > largest.readingBytes) largest = other;
        this.noteReading(largest, 0);
        largest.fail("answers that are being read take too much memory");
    }

    release(conn: TargetConnection): void {
        conn.idleSince = steadyNow();
        this.idle.push(conn);
    }

    forget(conn: TargetConnection): void {
        this.all.delete(conn);
        this.noteReading(conn, 0);
        const index = this.idle.indexOf(conn);
        if (index >= 0) this.idle.splice(index, 1);
    }

    /** Closes idle connections before the target does. */
    closeStale(now: number): void {
        for (const conn of [...this.idle]) {
            if (now - conn.idleSince > conn.idleTimeoutMs) conn.socket.destroy();
        }
    }

    closeIdle(): void {
        for (const conn of [...this.idle]) conn.socket.destroy();
    }

    private takeIdle(isIdempotent: boolean): TargetConnection | undefined {
        const conn = this.idle.at(-1);
        if (conn === undefined) return undefined;
        const age = steadyNow() - conn.idleSince;
        if (age > (isIdempotent ? conn.idleTimeoutMs : Math.min(conn.idleTimeoutMs, UNSAFE_REUSE_MS))) {
            return undefined;
        }
        return this.idle.pop();
    }

    private open(): TargetConnection {
        const conn = new TargetConnection(this.options, this);
        this.all.add(conn);
        return conn;
    }
}
