/**
 * Connections to the target beside this node. One request at a time uses a connection; an answer is matched by its
 * request id, since a faulty target may send more than it was asked for.
 */
import net from "node:net";
import type { ResponseHead } from "../http/heads.ts";
import { HttpSyntaxError, MessageReader } from "../http/messageReader.ts";
import type { Message } from "../http/messageReader.ts";
import { steadyNow } from "./clock.ts";
import type { TargetProtocol } from "./protocol.ts";
import type { FailureReason } from "./types.ts";

export type Reply =
    | { readonly kind: "response"; readonly head: ResponseHead; readonly body: Buffer; }
    /** Nothing was sent: the connection could not be opened. */
    | { readonly kind: "unreachable"; }
    | { readonly kind: "lost"; readonly reason: FailureReason; };

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
const LIMITS = { maxHeadBytes: 64 * 1024, maxBodyBytes: 64 * 1024 * 1024 };

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
    private readonly reader: MessageReader<ResponseHead>;
    private isOpen = false;

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
        this.reader.isBodyless = exchange.method === "HEAD";
        if (this.isOpen) this.socket.write(exchange.bytes);
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
        return true;
    }

    private onEnd(): void {
        this.read(() => this.reader.end());
        this.socket.destroy();
    }

    private read(next: () => Message<ResponseHead> | undefined): void {
        try {
            for (let message = next(); message !== undefined; message = next()) {
                if (this.take(message)) return;
            }
        }
        catch (err) {
            if (!(err instanceof HttpSyntaxError)) throw err;
            this.fail("bad-answer");
        }
    }

    /** Returns whether the exchange is over. Interim answers and answers to other requests are passed over. */
    private take({ head, body }: Message<ResponseHead>): boolean {
        const exchange = this.current;
        if (exchange === undefined) return true;
        if (head.status < 200) return false;
        if (head.requestId !== undefined && head.requestId !== exchange.requestId) return false;
        if (!this.isWhole(head, body)) {
            this.fail("bad-answer");
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

    private fail(reason: FailureReason): void {
        const exchange = this.current;
        this.current = undefined;
        this.socket.destroy();
        exchange?.onReply({ kind: "lost", reason });
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

    constructor(private readonly options: TargetPoolOptions) {}

    /** Sends a request; returns a function that breaks it off. */
    send(exchange: Exchange): () => void {
        const conn = this.takeIdle(exchange.isIdempotent) ?? this.open();
        conn.start(exchange);
        return () => {
            if (conn.current !== exchange) return;
            conn.current = undefined;
            conn.socket.destroy();
        };
    }

    release(conn: TargetConnection): void {
        conn.idleSince = steadyNow();
        this.idle.push(conn);
    }

    forget(conn: TargetConnection): void {
        this.all.delete(conn);
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
