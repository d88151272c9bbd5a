/** The listeners of a node. `close` completes the responses in progress but does not wait for idle connections. */
import type { FastifyInstance } from "fastify";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Server as NetServer } from "node:net";
import type { Address } from "./types.ts";

/** After this time, `close` destroys the connections of clients that have not read their responses. */
const CLOSE_TIMEOUT_MS = 10_000;

export class ServerGroup {
    private readonly servers: FastifyInstance[] = [];
    /** Open connections, with the number of requests in progress on each. */
    private readonly connections = new Map<Socket, number>();
    private isKeepAliveDisabled = false;
    private isClosing = false;
    private onAllClosed: (() => void) | undefined;

    async listen(app: FastifyInstance, address: Address): Promise<void> {
        this.servers.push(app);
        app.server.on("connection", (socket: Socket) => this.trackConnection(socket));
        app.server.prependListener("request", (req: IncomingMessage, res: ServerResponse) => {
            this.trackRequest(req.socket, res);
        });
        await app.listen({ host: address.host, port: address.port });
    }

    /** Closes each connection after its next response, so that clients move to other nodes. */
    disableKeepAlive(): void {
        this.isKeepAliveDisabled = true;
    }

    /** Stops accepting connections and lets requests in progress finish. Resolves when no connection is left. */
    async close(): Promise<void> {
        this.isKeepAliveDisabled = true;
        this.isClosing = true;
        for (const { server } of this.servers) {
            // `http.Server.close` would destroy connections whose response has ended but is not flushed yet.
            NetServer.prototype.close.call(server);
        }
        for (const [socket, requests] of this.connections) {
            if (requests === 0) socket.end();
        }
        await this.waitForConnections();
        await Promise.allSettled(this.servers.map(app => app.close()));
    }

    private waitForConnections(): Promise<void> {
        if (this.connections.size === 0) return Promise.resolve();
        return new Promise(resolve => {
            const timer = setTimeout(
                () => this.connections.forEach((_, socket) => socket.destroy()),
                CLOSE_TIMEOUT_MS,
            );
            this.onAllClosed = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }

    private trackConnection(socket: Socket): void {
        this.connections.set(socket, 0);
        socket.once("close", () => {
            this.connections.delete(socket);
            if (this.connections.size === 0) this.onAllClosed?.();
        });
        if (this.isClosing) socket.end();
    }

    private trackRequest(socket: Socket, res: ServerResponse): void {
        this.connections.set(socket, (this.connections.get(socket) ?? 0) + 1);
        if (this.isKeepAliveDisabled) res.shouldKeepAlive = false;
        res.once("close", () => {
            const requests = this.connections.get(socket);
            if (requests === undefined) return;
            this.connections.set(socket, requests - 1);
            if (this.isClosing && requests === 1) socket.end();
        });
    }
}
