/**
 * HTTP/1.1 server of the request path. It handles one request of a connection at a time, hands it over whole and
 * writes the answer in one piece.
 */
import net from "node:net";
import { steadyNow } from "../mesh/clock.ts";
import type { RequestHead } from "./heads.ts";
import { HttpSyntaxError, MessageReader } from "./messageReader.ts";
import type { Message } from "./messageReader.ts";

export interface HttpAnswer {
    readonly status: number;
    /** Header lines, each with its line end, without a length. */
    readonly headers: string;
    readonly body: Buffer;
}

export type Reply = (answer: HttpAnswer) => void;
/** Handles a request; the returned function is called when the client leaves before the answer. */
export type Handler = (req: Message<RequestHead>, reply: Reply) => (() => void) | undefined;

export interface ServerLimits {
    readonly maxHeadBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

export interface LeanServerOptions {
    readonly host: string;
    readonly port: number;
    readonly handler: Handler;
    readonly parseHead: (text: string) => RequestHead;
    readonly limits: () => ServerLimits;
    /** Whether answers ask the client to close the connection. */
    readonly isClosing?: () => boolean;
}

const REASONS: Readonly<Record<number, string>> = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
};
const EMPTY = Buffer.alloc(0);
/** Bytes read ahead of the request in progress before reading pauses. */
const MAX_READ_AHEAD_BYTES = 64 * 1024;

class ClientConnection {
    lastActivityAt = steadyNow();
    isBusy = false;
    private readonly reader: MessageReader<RequestHead>;
    private onGone: (() => void) | undefined;
    private hasContinued = false;

    constructor(private readonly socket: net.Socket, private readonly options: LeanServerOptions) {
        this.reader = new MessageReader<RequestHead>(options.parseHead, options.limits());
        socket.on("data", chunk => this.onData(chunk));
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.onClose());
    }

    /** Ends a connection that is idle or too slow. Called about once a second. */
    checkTimeouts(now: number, limits: ServerLimits): void {
        if (this.isBusy) return;
        const idleMs = now - this.lastActivityAt;
        if (this.reader.isMidMessage && this.reader.pendingHead === undefined) {
            if (idleMs > limits.headerTimeoutMs) this.refuse(408);
        }
        else if (idleMs > limits.idleTimeoutMs) this.socket.destroy();
    }

    destroy(): void {
        this.socket.destroy();
    }

    private onData(chunk: Buffer): void {
        const wasIdle = !this.reader.isMidMessage;
        this.reader.feed(chunk);
        if (this.isBusy) {
            if (this.reader.bufferedBytes > MAX_READ_AHEAD_BYTES) this.socket.pause();
            return;
        }
        // The time of a head runs from its first byte, that of a body from its last.
        if (wasIdle || this.reader.pendingHead !== undefined) this.lastActivityAt = steadyNow();
        this.readNext();
    }

    private readNext(): void {
        if (this.isBusy) return;
        try {
            const message = this.reader.next();
            if (message !== undefined) this.handle(message);
            else this.continueIfAsked();
        }
        catch (err) {
            if (!(err instanceof HttpSyntaxError)) throw err;
            this.refuse(err.status);
        }
    }

    private handle(message: Message<RequestHead>): void {
        this.isBusy = true;
        this.hasContinued = false;
        let isAnswered = false;
        this.onGone = this.options.handler(message, answer => {
            if (isAnswered) return;
            isAnswered = true;
            this.answer(message.head, answer);
        });
        if (isAnswered) this.onGone = undefined;
    }

    private continueIfAsked(): void {
        if (this.hasContinued || this.reader.pendingHead?.expectsContinue !== true) return;
        this.hasContinued = true;
        this.socket.write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    private answer(head: RequestHead, answer: HttpAnswer): void {
        this.onGone = undefined;
        this.isBusy = false;
        this.lastActivityAt = steadyNow();
        if (this.socket.destroyed) return;
        const isLast = !head.keepAlive || this.options.isClosing?.() === true;
        this.socket.write(encodeAnswer(answer, { isLast, hasBody: head.method !== "HEAD" }));
        if (isLast) {
            this.socket.end();
            return;
        }
        if (this.socket.isPaused()) this.socket.resume();
        if (this.reader.isMidMessage) setImmediate(() => this.readNext());
    }

    private refuse(status: number): void {
        if (this.socket.destroyed) return;
        this.isBusy = true;
        this.socket.end(encodeAnswer({ status, headers: "", body: EMPTY }, { isLast: true, hasBody: true }));
    }

    private onClose(): void {
        const { onGone } = this;
        this.onGone = undefined;
        this.isBusy = true;
        onGone?.();
    }
}

function encodeAnswer(
    { status, headers, body }: HttpAnswer,
    { isLast, hasBody }: { readonly isLast: boolean; readonly hasBody: boolean; },
): Buffer {
    const length = status === 204 || status === 304 ? "" : `Content-Length: ${body.length}\r\n`;
    const head = `HTTP/1.1 ${status} ${REASONS[status] ?? "Status"}\r\n${headers}${length}${
        isLast ? "Connection: close\r\n" : ""
    }\r\n`;
    const bodyBytes = hasBody && length !== "" ? body.length : 0;
    const buf = Buffer.allocUnsafe(head.length + bodyBytes);
    buf.write(head, 0, "latin1");
    if (bodyBytes > 0) body.copy(buf, head.length);
    return buf;
}

export class LeanServer {
    private readonly server: net.Server;
    private readonly connections = new Set<ClientConnection>();

    constructor(private readonly options: LeanServerOptions) {
        this.server = net.createServer(socket => this.accept(socket));
    }

    async listen(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen({ host: this.options.host, port: this.options.port, backlog: 4096 }, resolve);
        });
    }

    /** Called about once a second. */
    checkTimeouts(now: number): void {
        const limits = this.options.limits();
        for (const conn of this.connections) conn.checkTimeouts(now, limits);
    }

    /** Stops at once. */
    close(): void {
        this.server.close();
        for (const conn of this.connections) conn.destroy();
    }

    private accept(socket: net.Socket): void {
        const conn = new ClientConnection(socket, this.options);
        this.connections.add(conn);
        socket.once("close", () => this.connections.delete(conn));
    }
}
