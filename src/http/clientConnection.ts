/**
 * One connection of the HTTP server. Pipelined requests may be handled at the same time; their responses are sent in the
 * order of the requests. What is held for a connection is bounded: the number of requests in progress, the bytes of
 * responses that wait for an earlier one, and the bytes that are read ahead.
 *
 * The response that closes the connection is always the last one of the accepted requests. Requests behind it have not
 * been handled, so the client may send them again.
 */
import type net from "node:net";
import { steadyNow } from "../mesh/clock.ts";
import type { HttpResponse, HttpServerOptions, ServerLimits } from "./httpServer.ts";
import type { RequestHead } from "./messageHead.ts";
import { HttpSyntaxError, MessageReader } from "./messageReader.ts";
import type { HttpMessage } from "./messageReader.ts";

/** An accepted request. `response` is set once it is known; it is sent after those to all earlier requests. */
interface PendingExchange {
    readonly head: RequestHead;
    response: HttpResponse | undefined;
    onDisconnect: (() => void) | undefined;
}

const REASON_PHRASES: Readonly<Record<number, string>> = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
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
const HANDLER_ERROR_RESPONSE: HttpResponse = { status: 500, headers: "", body: EMPTY_BODY };
/** Reading from the socket pauses while no request can be accepted and more than this many bytes are buffered. */
const MAX_READ_AHEAD_BYTES = 64 * 1024;
/** Requests of one connection that are handled at the same time. */
const MAX_PIPELINED_REQUESTS = 16;
/** No further request is accepted while responses with more bytes than this wait for an earlier one or the client. */
const MAX_HELD_RESPONSE_BYTES = 256 * 1024;
/** Time after the last response until a closing connection is destroyed, for a client that does not close its side. */
const LINGER_MS = 1500;

export class ClientConnection {
    /**
     * Start of the current timeout: when the connection was accepted, the latest response was sent, the first byte of a
     * head arrived, or the latest bytes of a body arrived.
     */
    private timeoutStartedAt = steadyNow();
    private readonly reader: MessageReader<RequestHead>;
    private readonly exchanges: PendingExchange[] = [];
    private heldResponseBytes = 0;
    /** A complete request that has to wait for the responses to earlier ones. */
    private waitingRequest: HttpMessage<RequestHead> | undefined;
    /** Status of the response to a malformed request, which is sent after those to the requests before it. */
    private errorStatus: number | undefined;
    /** Arrival of the latest bytes, see `RequestHandler`. */
    private arrivedAt = steadyNow();
    private hasSentContinue = false;
    private isAccepting = false;
    private isAcceptScheduled = false;
    /** Whether the last response has been sent. Bytes that still arrive are discarded. */
    private isClosing = false;

    constructor(private readonly socket: net.Socket, private readonly options: HttpServerOptions) {
        this.reader = new MessageReader<RequestHead>(options.parseHead, options.limits());
        socket.on("data", chunk => this.onSocketData(chunk));
        socket.on("drain", () => this.acceptRequests());
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.onSocketClose());
    }

    /** Whether an accepted request or part of a response is pending. */
    get isPending(): boolean {
        return this.exchanges.length > 0 || this.socket.writableLength > 0 && !this.socket.destroyed;
    }

    /** Closes the connection if it has been idle for too long, or if a head or body arrives too slowly. */
    checkTimeouts(now: number, limits: ServerLimits): void {
        if (this.exchanges.length > 0) return;
        const elapsedMs = now - this.timeoutStartedAt;
        if (this.isClosing) {
            if (
                elapsedMs > LINGER_MS && this.socket.writableLength === 0 || elapsedMs > limits.idleTimeoutMs
            ) {
                this.socket.destroy();
            }
        }
        else if (this.reader.isMidMessage && this.reader.pendingHead === undefined) {
            if (elapsedMs > limits.headerTimeoutMs) this.sendErrorAndClose(408);
        }
        else if (elapsedMs > limits.idleTimeoutMs) this.socket.destroy();
    }

    destroy(): void {
        this.socket.destroy();
    }

    private onSocketData(chunk: Buffer): void {
        if (this.isClosing || this.errorStatus !== undefined) return;
        const wasIdle = !this.reader.isMidMessage;
        const now = steadyNow();
        this.arrivedAt = now - (this.options.pauseMs?.() ?? 0);
        // The header timeout is measured from the first byte of a head, the idle timeout from the latest body bytes.
        if (wasIdle || this.reader.pendingHead !== undefined) this.timeoutStartedAt = now;
        this.reader.feed(chunk);
        this.acceptRequests();
    }

    /** Accepts as many requests as may be handled now, but not more than the bound of a connection in one turn. */
    private acceptRequests(): void {
        if (this.isAccepting) return;
        this.isAccepting = true;
        let acceptedCount = 0;
        while (!this.isClosing && !this.socket.destroyed && this.readRequest()) {
            if (!this.mayAccept(this.waitingRequest!.head)) break;
            if (acceptedCount++ === MAX_PIPELINED_REQUESTS) {
                this.scheduleAccept();
                break;
            }
            this.accept();
        }
        this.isAccepting = false;
        this.sendErrorInTurn();
        this.pauseOrResume();
    }

    private scheduleAccept(): void {
        if (this.isAcceptScheduled) return;
        this.isAcceptScheduled = true;
        setImmediate(() => {
            this.isAcceptScheduled = false;
            this.acceptRequests();
        });
    }

    /** Reads the next request into `waitingRequest`, unless there is one already. Returns whether there is one. */
    private readRequest(): boolean {
        if (this.waitingRequest !== undefined) return true;
        if (this.errorStatus !== undefined) return false;
        try {
            this.waitingRequest = this.reader.next();
            if (this.waitingRequest === undefined) this.sendContinueIfExpected();
        }
        catch (err) {
            if (!(err instanceof HttpSyntaxError)) throw err;
            this.errorStatus = err.status;
        }
        return this.waitingRequest !== undefined;
    }

    private mayAccept(head: RequestHead): boolean {
        const { exchanges, options } = this;
        if (this.heldResponseBytes + this.socket.writableLength > MAX_HELD_RESPONSE_BYTES) return false;
        if (exchanges.length === 0) return true;
        return options.isClosing?.() !== true && exchanges.at(-1)!.head.keepAlive
            && exchanges.length < MAX_PIPELINED_REQUESTS && options.isPipelinable?.(head) === true;
    }

    private accept(): void {
        const request = this.waitingRequest!;
        this.waitingRequest = undefined;
        this.hasSentContinue = false;
        const exchange: PendingExchange = {
            head: request.head,
            response: undefined,
            onDisconnect: undefined,
        };
        this.exchanges.push(exchange);
        const sendResponse = (response: HttpResponse) => this.onResponse(exchange, response);
        try {
            const onDisconnect = this.options.handler(request, sendResponse, this.arrivedAt);
            if (exchange.response === undefined) exchange.onDisconnect = onDisconnect;
        }
        catch (err) {
            if (this.options.onHandlerError === undefined) throw err;
            this.options.onHandlerError(err);
            sendResponse(HANDLER_ERROR_RESPONSE);
        }
    }

    private onResponse(exchange: PendingExchange, response: HttpResponse): void {
        if (exchange.response !== undefined) return;
        exchange.response = response;
        exchange.onDisconnect = undefined;
        if (this.socket.destroyed) return;
        this.heldResponseBytes += response.body.length;
        while (this.exchanges[0]?.response !== undefined) this.sendFirstResponse();
        if (this.reader.isMidMessage || this.waitingRequest !== undefined) this.scheduleAccept();
        else this.sendErrorInTurn();
    }

    private sendFirstResponse(): void {
        const { head, response } = this.exchanges.shift()!;
        this.heldResponseBytes -= response!.body.length;
        this.timeoutStartedAt = steadyNow();
        const isLast = this.exchanges.length === 0;
        const closesConnection = isLast && (!head.keepAlive || this.options.isClosing?.() === true);
        this.socket.write(encodeResponse(response!, { closesConnection, hasBody: head.method !== "HEAD" }));
        if (closesConnection) this.closeAfterResponses();
    }

    private sendContinueIfExpected(): void {
        if (this.exchanges.length > 0 || this.hasSentContinue) return;
        if (this.reader.pendingHead?.expectsContinue !== true) return;
        this.hasSentContinue = true;
        this.socket.write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    /** Sends the response to a malformed request once all requests before it are answered. */
    private sendErrorInTurn(): void {
        if (this.errorStatus === undefined || this.exchanges.length > 0) return;
        this.sendErrorAndClose(this.errorStatus);
    }

    private sendErrorAndClose(status: number): void {
        if (this.isClosing || this.socket.destroyed) return;
        this.socket.write(
            encodeResponse({ status, headers: "", body: EMPTY_BODY }, {
                closesConnection: true,
                hasBody: true,
            }),
        );
        this.closeAfterResponses();
    }

    /**
     * Ends the sending side. The receiving side stays open for a while, because a connection that is closed with unread
     * bytes is reset, and the client might lose the response.
     */
    private closeAfterResponses(): void {
        this.isClosing = true;
        this.timeoutStartedAt = steadyNow();
        this.waitingRequest = undefined;
        this.socket.end();
        if (this.socket.isPaused()) this.socket.resume();
    }

    private pauseOrResume(): void {
        const mustPause = !this.isClosing && this.errorStatus === undefined
            && this.waitingRequest !== undefined && this.reader.bufferedBytes > MAX_READ_AHEAD_BYTES;
        if (mustPause === this.socket.isPaused()) return;
        if (mustPause) this.socket.pause();
        else this.socket.resume();
    }

    private onSocketClose(): void {
        this.isClosing = true;
        this.waitingRequest = undefined;
        for (const { onDisconnect } of this.exchanges.splice(0)) onDisconnect?.();
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
