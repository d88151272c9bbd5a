/**
 * HTTP connections to the local target. A connection carries one request at a time. A response with the id of another
 * request is skipped, since a faulty target may send more responses than it has received requests. A response without
 * an id counts as the response to the current request only if that request is the first one of its connection;
 * otherwise it may be a late copy of an earlier response.
 */
import net from "node:net";
import type { Body } from "../http/body.ts";
import type { ResponseHead } from "../http/messageHead.ts";
import { HttpSyntaxError, MessageReader } from "../http/messageReader.ts";
import type { HttpMessage } from "../http/messageReader.ts";
import type { MemoryBudget } from "../policy/memoryBudget.ts";
import { steadyNow } from "./clock.ts";
import type { TargetProtocol } from "./protocol.ts";
import type { FailureReason } from "./types.ts";

export type ExchangeResult =
    | { readonly kind: "response"; readonly head: ResponseHead; readonly body: Body; }
    /** The request was not sent, because no connection could be opened. */
    | { readonly kind: "unreachable"; }
    /** The request was sent, but no usable response arrived. `detail`: why the response was unusable, for the log. */
    | { readonly kind: "lost"; readonly reason: FailureReason; readonly detail?: string; };

/** Handle of a request that was sent. */
export interface TargetExchange {
    abort(): void;
    /** Whether part of the response has arrived, but not all of it. */
    isReceivingResponse(): boolean;
}

export interface TargetRequest {
    readonly requestId: string;
    readonly method: string;
    /** One buffer, or several that are written one after the other. */
    readonly bytes: Buffer | readonly Buffer[];
    readonly isIdempotent: boolean;
    readonly onResult: (result: ExchangeResult) => void;
}

/** A connection that was idle for longer may have been dropped, so no non-idempotent request is sent on it. */
const NON_IDEMPOTENT_MAX_IDLE_MS = 1500;
/** Share of the idle timeout announced by the target after which an idle connection is no longer used. */
const USABLE_IDLE_TIME_SHARE = 0.8;
const DEFAULT_IDLE_TIMEOUT_MS = 8000;
const CONNECT_TIMEOUT_MS = 400;
/** Shared by all connections; the bytes of each read are copied before the next read overwrites them. */
const READ_BUFFER = Buffer.allocUnsafeSlow(64 * 1024);
const RESPONSE_LIMITS = { maxHeadBytes: 64 * 1024, maxBodyBytes: 16 * 1024 * 1024 };
/** Limit for all incomplete responses together, whatever the memory budget is. */
const MAX_BUFFERED_RESPONSE_BYTES = 32 * 1024 * 1024;
/** Maximum number of interim responses and responses to other requests before the response to a request. */
const MAX_SKIPPED_RESPONSES = 16;

export interface TargetConnectionPoolOptions {
    readonly host: string;
    readonly port: number;
    readonly protocol: TargetProtocol;
    /** Counts the bytes of incomplete responses. */
    readonly memory?: MemoryBudget | undefined;
}

class TargetConnection {
    readonly socket: net.Socket;
    idleSince = 0;
    idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;
    currentRequest: TargetRequest | undefined;
    /** Number of bytes buffered of the response that is being read. */
    bufferedBytes = 0;
    private readonly reader: MessageReader<ResponseHead>;
    private isOpen = false;
    private skippedResponses = 0;
    private requestCount = 0;

    constructor(
        private readonly options: TargetConnectionPoolOptions,
        private readonly pool: TargetConnectionPool,
    ) {
        this.reader = new MessageReader<ResponseHead>(options.protocol.parseResponse, RESPONSE_LIMITS);
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

    send(request: TargetRequest): void {
        this.currentRequest = request;
        this.requestCount++;
        this.skippedResponses = 0;
        this.reader.isBodyless = request.method === "HEAD";
        if (this.isOpen) this.write(request.bytes);
    }

    get isReceivingResponse(): boolean {
        return this.reader.isMidMessage;
    }

    /** Closes the connection and reports the response to the current request as unusable. */
    fail(detail: string): void {
        const request = this.currentRequest;
        this.currentRequest = undefined;
        this.socket.destroy();
        request?.onResult({ kind: "lost", reason: "bad-answer", detail });
    }

    private onConnect(): void {
        this.isOpen = true;
        this.socket.setTimeout(0);
        if (this.currentRequest !== undefined) this.write(this.currentRequest.bytes);
    }

    private write(bytes: Buffer | readonly Buffer[]): void {
        if (Buffer.isBuffer(bytes)) {
            this.socket.write(bytes);
            return;
        }
        this.socket.cork();
        for (const buffer of bytes) this.socket.write(buffer);
        this.socket.uncork();
    }

    private onRead(bytes: number): boolean {
        if (this.currentRequest === undefined) {
            this.socket.destroy();
            return false;
        }
        this.reader.feed(Buffer.from(READ_BUFFER.subarray(0, bytes)));
        this.readMessages(() => this.reader.next());
        this.pool.trackBufferedBytes(this, this.currentRequest === undefined ? 0 : this.reader.bufferedBytes);
        return true;
    }

    private onEnd(): void {
        this.readMessages(() => this.reader.end());
        this.socket.destroy();
    }

    private readMessages(readNext: () => HttpMessage<ResponseHead> | undefined): void {
        try {
            for (let message = readNext(); message !== undefined; message = readNext()) {
                if (this.handleMessage(message)) return;
            }
        }
        catch (err) {
            if (!(err instanceof HttpSyntaxError)) throw err;
            this.fail(err.message);
        }
    }

    /** Returns whether the exchange is over. Skips interim responses and responses to other requests. */
    private handleMessage({ head, body }: HttpMessage<ResponseHead>): boolean {
        const request = this.currentRequest;
        if (request === undefined) return true;
        if (head.status < 200 || head.requestId !== undefined && head.requestId !== request.requestId) {
            if (++this.skippedResponses <= MAX_SKIPPED_RESPONSES) return false;
            this.fail("too many interim responses or responses to other requests");
            return true;
        }
        if (head.requestId === undefined && request.requestId !== "" && this.requestCount > 1) {
            this.fail("response without a request id on a kept connection");
            return true;
        }
        if (!this.isComplete(head, body)) {
            this.fail("body length differs from the length in its seal");
            return true;
        }
        this.currentRequest = undefined;
        const isReusable = head.keepAlive && head.framing.kind !== "until-close" && !this.reader.isMidMessage;
        if (head.idleTimeoutMs !== undefined) {
            this.idleTimeoutMs = head.idleTimeoutMs * USABLE_IDLE_TIME_SHARE;
        }
        if (isReusable) this.pool.release(this);
        else this.socket.destroy();
        request.onResult({ kind: "response", head, body });
        return true;
    }

    /** Checks a body that ends with its connection against its seal. Any other body, or one without a seal, passes. */
    private isComplete({ framing, seal }: ResponseHead, body: Body): boolean {
        if (framing.kind !== "until-close" || seal === undefined) return true;
        return this.options.protocol.lengthMatchesSeal(seal, body.length);
    }

    private onClose(): void {
        this.pool.remove(this);
        const request = this.currentRequest;
        this.currentRequest = undefined;
        request?.onResult(
            this.isOpen ? { kind: "lost", reason: "connection-lost" } : { kind: "unreachable" },
        );
    }
}

export class TargetConnectionPool {
    private readonly idle: TargetConnection[] = [];
    private readonly connections = new Set<TargetConnection>();
    private totalBufferedBytes = 0;

    constructor(private readonly options: TargetConnectionPoolOptions) {}

    /** Number of bytes buffered of all incomplete responses. */
    get bufferedBytes(): number {
        return this.totalBufferedBytes;
    }

    send(request: TargetRequest): TargetExchange {
        const conn = this.acquireIdle(request.isIdempotent) ?? this.openConnection();
        conn.send(request);
        return {
            abort: () => {
                if (conn.currentRequest !== request) return;
                conn.currentRequest = undefined;
                conn.socket.destroy();
            },
            isReceivingResponse: () => conn.currentRequest === request && conn.isReceivingResponse,
        };
    }

    /**
     * Updates the number of bytes buffered by a connection. If the total exceeds its limit, closes the connection with
     * the largest incomplete response, which may be another one, and reports that response as unusable.
     */
    trackBufferedBytes(conn: TargetConnection, bytes: number): void {
        this.totalBufferedBytes += bytes - conn.bufferedBytes;
        this.options.memory?.resize(conn.bufferedBytes, bytes);
        conn.bufferedBytes = bytes;
        if (this.totalBufferedBytes <= MAX_BUFFERED_RESPONSE_BYTES) return;
        let largest = conn;
        for (const other of this.connections) {
            if (other.bufferedBytes > largest.bufferedBytes) largest = other;
        }
        this.trackBufferedBytes(largest, 0);
        largest.fail("incomplete responses exceed the memory limit");
    }

    release(conn: TargetConnection): void {
        conn.idleSince = steadyNow();
        this.idle.push(conn);
    }

    remove(conn: TargetConnection): void {
        this.connections.delete(conn);
        this.trackBufferedBytes(conn, 0);
        const index = this.idle.indexOf(conn);
        if (index >= 0) this.idle.splice(index, 1);
    }

    /** Closes idle connections before the target closes them. */
    closeStale(now: number): void {
        for (const conn of [...this.idle]) {
            if (now - conn.idleSince > conn.idleTimeoutMs) conn.socket.destroy();
        }
    }

    closeIdle(): void {
        for (const conn of [...this.idle]) conn.socket.destroy();
    }

    private acquireIdle(isIdempotent: boolean): TargetConnection | undefined {
        const conn = this.idle.at(-1);
        if (conn === undefined) return undefined;
        const idleMs = steadyNow() - conn.idleSince;
        if (
            idleMs
                > (isIdempotent
                    ? conn.idleTimeoutMs
                    : Math.min(conn.idleTimeoutMs, NON_IDEMPOTENT_MAX_IDLE_MS))
        ) {
            return undefined;
        }
        return this.idle.pop();
    }

    private openConnection(): TargetConnection {
        const conn = new TargetConnection(this.options, this);
        this.connections.add(conn);
        return conn;
    }
}
