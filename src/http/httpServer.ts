/** HTTP/1.1 server for requests from clients and the local target, and for the control servers of a platform. */
import net from "node:net";
import type { MemoryBudget } from "../policy/memoryBudget.ts";
import type { Body } from "./body.ts";
import { ClientConnection } from "./clientConnection.ts";
import { ConnectionGuard } from "./connectionGuard.ts";
import type { ReleaseEvent } from "./connectionGuard.ts";
import type { RequestHead } from "./messageHead.ts";
import type { HttpMessage } from "./messageReader.ts";

export interface HttpResponse {
    readonly status: number;
    /** Header lines, each with its CRLF, without `Content-Length`. */
    readonly headers: string;
    readonly body: Body;
}

export type SendResponse = (response: HttpResponse) => void;
/**
 * Handles a request. `arrivedAt` is the `steadyNow()` time in ms at which its last bytes were read or, if the process
 * was paused before that, the earliest time at which they may have arrived. The handler may return a function, which is called if the client disconnects before the response is sent.
 */
export type RequestHandler = (
    req: HttpMessage<RequestHead>,
    sendResponse: SendResponse,
    arrivedAt: number,
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
    /** Whether the server closes each connection once its accepted requests are answered, with `Connection: close`. */
    readonly isClosing?: () => boolean;
    /**
     * Whether a pipelined request may be handled before the responses to earlier requests of its connection have been
     * sent. By default, requests of a connection are handled one after the other.
     */
    readonly isPipelinable?: (head: RequestHead) => boolean;
    /** Time in ms for which bytes that are read now may have waited, because the process was paused; 0 by default. */
    readonly pauseMs?: () => number;
    /** Bounds what all connections hold; without it, only the bounds of each connection apply. */
    readonly memory?: MemoryBudget;
    /** Returns the number of connections up to which none is closed. Used together with `memory`. */
    readonly maxConnections?: () => number;
    /** Called when a request is refused or a connection closed because of `memory` or `maxConnections`. */
    readonly onReleased?: (event: ReleaseEvent) => void;
    /** Called with an unexpected error of the handler; the request gets a 500 response. */
    readonly onHandlerError?: (err: unknown) => void;
}

export class HttpServer {
    private readonly server: net.Server;
    private readonly connections = new Set<ClientConnection>();
    private readonly guard: ConnectionGuard | undefined;

    constructor(private readonly options: HttpServerOptions) {
        const { memory, maxConnections, onReleased } = options;
        this.guard = memory === undefined ? undefined : new ConnectionGuard({
            budget: memory,
            connections: this.connections,
            maxConnections: maxConnections ?? (() => Infinity),
            onReleased,
        });
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

    /** Refuses or closes connections that hold memory without progress while others wait for it. Call every 100 ms. */
    relieveMemory(now: number): void {
        this.guard?.tick(now);
    }

    /** Number of connections on which an accepted request or part of a response is pending. */
    get pendingCount(): number {
        let count = 0;
        for (const conn of this.connections) if (conn.isPending) count++;
        return count;
    }

    /** Closes the listener and all connections immediately. */
    close(): void {
        this.server.close();
        for (const conn of this.connections) conn.destroy();
    }

    private accept(socket: net.Socket): void {
        if (this.guard?.admitConnection() === false) {
            socket.destroy();
            return;
        }
        const conn = new ClientConnection(socket, this.options, this.guard);
        this.connections.add(conn);
        socket.once("close", () => this.connections.delete(conn));
    }
}
