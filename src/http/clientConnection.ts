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
import { MAX_SMALL_BYTES } from "../policy/memoryBudget.ts";
import type { HolderState, MemoryHolder } from "../policy/memoryBudget.ts";
import { MAX_JOINED_BODY_BYTES } from "./body.ts";
import type { ConnectionGuard } from "./connectionGuard.ts";
import type { HttpResponse, HttpServerOptions, ServerLimits } from "./httpServer.ts";
import type { RequestHead } from "./messageHead.ts";
import { HttpSyntaxError, MessageReader } from "./messageReader.ts";
import type { HttpMessage } from "./messageReader.ts";
import { ResponseWriter } from "./responseWriter.ts";

/** An accepted request. `response` is set once it is known; it is sent after those to all earlier requests. */
interface PendingExchange {
    readonly head: RequestHead;
    readonly bodyBytes: number;
    response: HttpResponse | undefined;
    onDisconnect: (() => void) | undefined;
}

const EMPTY_BODY = Buffer.alloc(0);
const HANDLER_ERROR_RESPONSE = emptyResponse(500);
/** The request has not run, since its body is incomplete. */
const MEMORY_REFUSAL: HttpResponse = {
    status: 503,
    headers: "Retry-After: 1\r\nX-Refusal-Reason: memory\r\n",
    body: EMPTY_BODY,
};
/** How long a large request stays counted after its client has disconnected: until then it may be on its way. */
const SENT_BODY_HOLD_MS = 1000;
/** Reading from the socket pauses while no request can be accepted and more than this many bytes are buffered. */
const MAX_READ_AHEAD_BYTES = 64 * 1024;
/** Requests of one connection that are handled at the same time. */
const MAX_PIPELINED_REQUESTS = 16;
/** No further request is accepted while responses with more bytes than this wait for an earlier one or the client. */
const MAX_HELD_RESPONSE_BYTES = 256 * 1024;
/** Time after the last response until a closing connection is destroyed, for a client that does not close its side. */
const LINGER_MS = 1500;

export class ClientConnection implements MemoryHolder {
    /**
     * Start of the current timeout: when the connection was accepted, the latest response was sent, the first byte of a
     * head arrived, or the latest bytes of a body arrived.
     */
    private timeoutStartedAt = steadyNow();
    private readonly reader: MessageReader<RequestHead>;
    private readonly writer: ResponseWriter;
    private readonly exchanges: PendingExchange[] = [];
    private heldResponseBytes = 0;
    /** A complete request that has to wait for the responses to earlier ones. */
    private waitingRequest: HttpMessage<RequestHead> | undefined;
    /** Response to a malformed or refused request, which is sent after those to the requests before it. */
    private errorResponse: HttpResponse | undefined;
    /** Arrival of the latest bytes, see `RequestHandler`. */
    private arrivedAt = steadyNow();
    private hasSentContinue = false;
    private isAccepting = false;
    private isAcceptScheduled = false;
    /** Whether the last response has been sent. Bytes that still arrive are discarded. */
    private isClosing = false;
    heldBytes = 0;
    progressAt = this.timeoutStartedAt;
    messageStartedAt = this.timeoutStartedAt;
    /** Bytes of the bodies of accepted requests without a response. */
    private acceptedBytes = 0;
    /** Whether reading has stopped for lack of memory. */
    private isWaitingForMemory = false;

    constructor(
        private readonly socket: net.Socket,
        private readonly options: HttpServerOptions,
        private readonly guard?: ConnectionGuard,
    ) {
        this.writer = new ResponseWriter(socket);
        this.reader = new MessageReader<RequestHead>(options.parseHead, options.limits());
        socket.on("data", chunk => this.onSocketData(chunk));
        socket.on("drain", () => this.onDrain());
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.onSocketClose());
    }

    /** Whether an accepted request or part of a response is pending. */
    get isPending(): boolean {
        return this.exchanges.length > 0 || this.writer.pendingBytes > 0 && !this.socket.destroyed;
    }

    get holderState(): HolderState {
        if (this.socket.destroyed) return "running";
        if (this.writer.isBlocked) return "sending";
        if (this.isWaitingForMemory) return "waiting";
        const isBehindOthers = this.exchanges.length > 0 || this.errorResponse !== undefined;
        if (isBehindOthers && this.reader.bufferedBytes <= MAX_JOINED_BODY_BYTES) return "running";
        return this.reader.isMidMessage && !this.isClosing ? "receiving" : "idle";
    }

    /** Closes the connection if it has been idle for too long, or if a head or body arrives too slowly. */
    checkTimeouts(now: number, limits: ServerLimits): void {
        if (this.exchanges.length > 0 || this.isWaitingForMemory) return;
        const elapsedMs = now - this.timeoutStartedAt;
        if (this.isClosing) {
            if (
                elapsedMs > LINGER_MS && this.writer.pendingBytes === 0 || elapsedMs > limits.idleTimeoutMs
            ) {
                this.socket.destroy();
            }
        }
        else if (this.reader.isMidMessage && this.reader.pendingHead === undefined) {
            if (elapsedMs > limits.headerTimeoutMs) this.sendErrorAndClose(emptyResponse(408));
        }
        else if (elapsedMs > limits.idleTimeoutMs) this.socket.destroy();
    }

    destroy(): void {
        this.socket.destroy();
    }

    /** Refuses the incomplete request, or closes the connection if the client does not take a response. */
    releaseMemory(): "refused" | "closed" {
        const isReceiving = this.holderState === "receiving" || this.holderState === "waiting";
        this.isWaitingForMemory = false;
        if (isReceiving) {
            this.errorResponse = MEMORY_REFUSAL;
            this.sendErrorInTurn();
            this.pauseOrResume();
        }
        else this.socket.destroy();
        this.releaseBuffers();
        return isReceiving ? "refused" : "closed";
    }

    resumeReading(now: number): void {
        this.isWaitingForMemory = false;
        this.progressAt = now;
        this.pauseOrResume();
    }

    private releaseBuffers(): void {
        this.reader.discard();
        if (this.socket.destroyed) this.writer.discard();
        this.trackMemory();
    }

    /** Reports the number of bytes held. What the socket sends without delay is not counted. */
    private trackMemory(): void {
        if (this.guard === undefined) return;
        const held = this.reader.bufferedBytes + (this.waitingRequest?.body.length ?? 0) + this.acceptedBytes
            + this.heldResponseBytes + this.writer.blockedBytes;
        const { heldBytes } = this;
        if (held === heldBytes) return;
        this.heldBytes = held;
        this.guard.resize(this, heldBytes, held);
    }

    private onDrain(): void {
        this.progressAt = steadyNow();
        this.writer.onDrain();
        this.acceptRequests();
    }

    private onSocketData(chunk: Buffer): void {
        if (this.isClosing || this.errorResponse !== undefined) return;
        const wasIdle = !this.reader.isMidMessage;
        const now = steadyNow();
        this.arrivedAt = now - (this.options.pauseMs?.() ?? 0);
        this.progressAt = now;
        if (wasIdle) this.messageStartedAt = now;
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
        this.trackMemory();
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
        if (this.errorResponse !== undefined) return false;
        try {
            this.waitingRequest = this.reader.next();
            if (this.waitingRequest === undefined) this.sendContinueIfExpected();
        }
        catch (err) {
            if (!(err instanceof HttpSyntaxError)) throw err;
            this.errorResponse = emptyResponse(err.status);
            this.reader.discard();
        }
        return this.waitingRequest !== undefined;
    }

    private mayAccept(head: RequestHead): boolean {
        const { exchanges, options } = this;
        if (this.heldResponseBytes + this.writer.pendingBytes > MAX_HELD_RESPONSE_BYTES) return false;
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
            bodyBytes: request.body.length,
            response: undefined,
            onDisconnect: undefined,
        };
        this.exchanges.push(exchange);
        this.acceptedBytes += exchange.bodyBytes;
        const sendResponse = (response: HttpResponse) => this.onResponse(exchange, response);
        if (this.guard?.mustRefuse(exchange.bodyBytes) === true) {
            this.guard.countRefusal();
            sendResponse(MEMORY_REFUSAL);
            return;
        }
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
        this.acceptedBytes -= exchange.bodyBytes;
        this.heldResponseBytes += response.body.length;
        while (this.exchanges[0]?.response !== undefined) this.sendFirstResponse();
        if (this.reader.isMidMessage || this.waitingRequest !== undefined) this.scheduleAccept();
        else this.sendErrorInTurn();
        this.trackMemory();
    }

    private sendFirstResponse(): void {
        const { head, response } = this.exchanges.shift()!;
        this.heldResponseBytes -= response!.body.length;
        this.timeoutStartedAt = steadyNow();
        if (this.writer.pendingBytes === 0) this.progressAt = this.timeoutStartedAt;
        const isLast = this.exchanges.length === 0;
        const closesConnection = isLast && (!head.keepAlive || this.options.isClosing?.() === true);
        this.writer.send(response!, { closesConnection, hasBody: head.method !== "HEAD" });
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
        if (this.errorResponse === undefined || this.exchanges.length > 0) return;
        this.sendErrorAndClose(this.errorResponse);
    }

    private sendErrorAndClose(response: HttpResponse): void {
        if (this.isClosing || this.socket.destroyed) return;
        this.writer.send(response, { closesConnection: true, hasBody: true });
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
        this.isWaitingForMemory = false;
        this.reader.discard();
        this.writer.end();
        if (this.socket.isPaused()) this.socket.resume();
    }

    private pauseOrResume(): void {
        const mayPause = !this.isClosing && this.errorResponse === undefined;
        // The guard resumes large holders only; this one is small again, since an earlier request has been answered.
        if (this.heldBytes <= MAX_SMALL_BYTES) this.isWaitingForMemory = false;
        if (
            mayPause && !this.isWaitingForMemory && this.reader.pendingHead !== undefined
            && this.guard?.mustWait(this.heldBytes) === true
        ) {
            this.isWaitingForMemory = true;
            this.progressAt = steadyNow();
        }
        const mustPause = mayPause && (this.isWaitingForMemory
            || this.waitingRequest !== undefined && this.reader.bufferedBytes > MAX_READ_AHEAD_BYTES);
        if (mustPause === this.socket.isPaused()) return;
        if (mustPause) this.socket.pause();
        else this.socket.resume();
    }

    private releaseAccepted(): void {
        this.acceptedBytes = 0;
        this.trackMemory();
    }

    private onSocketClose(): void {
        this.isClosing = true;
        this.waitingRequest = undefined;
        this.isWaitingForMemory = false;
        this.heldResponseBytes = 0;
        if (this.acceptedBytes > MAX_JOINED_BODY_BYTES) {
            setTimeout(() => this.releaseAccepted(), SENT_BODY_HOLD_MS);
        }
        else this.acceptedBytes = 0;
        this.releaseBuffers();
        for (const { onDisconnect } of this.exchanges.splice(0)) onDisconnect?.();
    }
}

function emptyResponse(status: number): HttpResponse {
    return { status, headers: "", body: EMPTY_BODY };
}
