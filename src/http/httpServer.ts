/**
 * HTTP/1.1 server for requests from clients and the local target, and for the control servers of a platform. Each
 * connection handles one request at a time: the handler receives the complete request, and the response is written in
 * one piece.
 */
import net from "node:net";
import { steadyNow } from "../mesh/clock.ts";
import type { RequestHead } from "./messageHead.ts";
import { HttpSyntaxError, MessageReader } from "./messageReader.ts";
import type { HttpMessage } from "./messageReader.ts";

export interface HttpResponse {
    readonly status: number;
    /** Header lines, each with its CRLF, without `Content-Length`. */
    readonly headers: string;
    readonly body: Buffer;
}

export type SendResponse = (response: HttpResponse) => void;
/**
 * Handles a request. The handler may return a function, which is called if the client disconnects before the response
 * is sent.
 */
export type RequestHandler = (
    req: HttpMessage<RequestHead>,
    sendResponse: SendResponse,
) => (() => void) | undefined;

export interface ServerLimits {
    readonly maxHeadBytes: number;
    readonly maxBodyBytes: number;
    /** Time from the first byte of a request head within which the complete head must arrive. */
    readonly headerTimeoutMs: number;
    /** Time without a new request, or without further bytes of a request body, after which a connection is closed. */
    readonly idleTimeoutMs: number;
}

export interface HttpServerOptions {
    readonly host: string;
    readonly port: number;
    readonly handler: RequestHandler;
    readonly parseHead: (text: string) => RequestHead;
    /** Returns the current limits. Changed timeouts apply to all connections, changed size limits only to new ones. */
    readonly limits: () => ServerLimits;
    /** Whether the server closes each connection after its next response, with `Connection: close`. */
    readonly isClosing?: () => boolean;
}

const REASON_PHRASES: Readonly<Record<number, string>> = {
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
const EMPTY_BODY = Buffer.alloc(0);
/** While a request is in progress, reading from its socket pauses once more than this many bytes are buffered. */
const MAX_READ_AHEAD_BYTES = 64 * 1024;

class ClientConnection {
    /**
     * Start of the current timeout: when the connection was accepted, the latest response was sent, the first byte of a
     * head arrived, or the latest bytes of a body arrived.
     */
    timeoutStartedAt = steadyNow();
    /** Whether a request is in progress or the connection is being closed. */
    isBusy = false;
    private readonly reader: MessageReader<RequestHead>;
    private onClientDisconnect: (() => void) | undefined;
    private hasSentContinue = false;

    constructor(private readonly socket: net.Socket, private readonly options: HttpServerOptions) {
        this.reader = new MessageReader<RequestHead>(options.parseHead, options.limits());
        socket.on("data", chunk => this.onSocketData(chunk));
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.onSocketClose());
    }

    /** Closes the connection if it has been idle for too long, or if a head or body arrives too slowly. */
    checkTimeouts(now: number, limits: ServerLimits): void {
        if (this.isBusy) return;
        const elapsedMs = now - this.timeoutStartedAt;
        if (this.reader.isMidMessage && this.reader.pendingHead === undefined) {
            if (elapsedMs > limits.headerTimeoutMs) this.sendErrorAndClose(408);
        }
        else if (elapsedMs > limits.idleTimeoutMs) this.socket.destroy();
    }

    destroy(): void {
        this.socket.destroy();
    }

    private onSocketData(chunk: Buffer): void {
        const wasIdle = !this.reader.isMidMessage;
        this.reader.feed(chunk);
        if (this.isBusy) {
            if (this.reader.bufferedBytes > MAX_READ_AHEAD_BYTES) this.socket.pause();
            return;
        }
        // The header timeout is measured from the first byte of a head, the idle timeout from the latest body bytes.
        if (wasIdle || this.reader.pendingHead !== undefined) this.timeoutStartedAt = steadyNow();
        this.readNextRequest();
    }

    private readNextRequest(): void {
        if (this.isBusy) return;
        try {
            const request = this.reader.next();
            if (request !== undefined) this.handleRequest(request);
            else this.sendContinueIfExpected();
        }
        catch (err) {
            if (!(err instanceof HttpSyntaxError)) throw err;
            this.sendErrorAndClose(err.status);
        }
    }

    private handleRequest(request: HttpMessage<RequestHead>): void {
        this.isBusy = true;
        this.hasSentContinue = false;
        let hasResponded = false;
        this.onClientDisconnect = this.options.handler(request, response => {
            if (hasResponded) return;
            hasResponded = true;
            this.sendResponse(request.head, response);
        });
        if (hasResponded) this.onClientDisconnect = undefined;
    }

    private sendContinueIfExpected(): void {
        if (this.hasSentContinue || this.reader.pendingHead?.expectsContinue !== true) return;
        this.hasSentContinue = true;
        this.socket.write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    private sendResponse(head: RequestHead, response: HttpResponse): void {
        this.onClientDisconnect = undefined;
        this.isBusy = false;
        this.timeoutStartedAt = steadyNow();
        if (this.socket.destroyed) return;
        const closesConnection = !head.keepAlive || this.options.isClosing?.() === true;
        this.socket.write(encodeResponse(response, { closesConnection, hasBody: head.method !== "HEAD" }));
        if (closesConnection) {
            this.socket.end();
            return;
        }
        if (this.socket.isPaused()) this.socket.resume();
        if (this.reader.isMidMessage) setImmediate(() => this.readNextRequest());
    }

    private sendErrorAndClose(status: number): void {
        if (this.socket.destroyed) return;
        this.isBusy = true;
        this.socket.end(
            encodeResponse({ status, headers: "", body: EMPTY_BODY }, {
                closesConnection: true,
                hasBody: true,
            }),
        );
    }

    private onSocketClose(): void {
        const { onClientDisconnect: onDisconnect } = this;
        this.onClientDisconnect = undefined;
        this.isBusy = true;
        onDisconnect?.();
    }
}

function encodeResponse(
    { status, headers, body }: HttpResponse,
    { closesConnection, hasBody }: { readonly closesConnection: boolean; readonly hasBody: boolean; },
): Buffer {
    const lengthLine = status === 204 || status === 304 ? "" : `Content-Length: ${body.length}\r\n`;
    const head = `HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? "Status"}\r\n${headers}${lengthLine}${
        closesConnection ? "Connection: close\r\n" : ""
    }\r\n`;
    const bodyBytes = hasBody && lengthLine !== "" ? body.length : 0;
    const buf = Buffer.allocUnsafe(head.length + bodyBytes);
    buf.write(head, 0, "latin1");
    if (bodyBytes > 0) body.copy(buf, head.length);
    return buf;
}

export class HttpServer {
    private readonly server: net.Server;
    private readonly connections = new Set<ClientConnection>();

    constructor(private readonly options: HttpServerOptions) {
        this.server = net.createServer(socket => this.accept(socket));
    }

    /** Resolves when the server accepts connections; rejects if it cannot listen on its port. */
    async listen(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen({ host: this.options.host, port: this.options.port, backlog: 4096 }, resolve);
        });
    }

    /** Closes idle and slow connections. Call about once a second with the current time of `steadyNow`. */
    checkTimeouts(now: number): void {
        const limits = this.options.limits();
        for (const conn of this.connections) conn.checkTimeouts(now, limits);
    }

    /** Closes the listener and all connections immediately. */
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
