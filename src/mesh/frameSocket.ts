/**
 * Connection between two nodes. Frames written in one turn of the event loop are sent in one system call. A connection
 * on which no data arrives is pinged, sooner while responses are pending, and closed if no data follows the ping.
 */
import { JSONRPCClient, JSONRPCServerAndClient } from "json-rpc-2.0";
import type { JSONRPCServer } from "json-rpc-2.0";
import type net from "node:net";
import { steadyNow } from "./clock.ts";
import { encodePong, encodeRpc, encodeSignal, FrameError, FrameReader } from "./frames.ts";
import type { Frame } from "./frames.ts";

/** Frames about requests and admission. The socket itself handles pings, pongs and JSON-RPC messages. */
export type DataPlaneFrame = Exclude<Frame, { type: "ping" | "pong" | "rpc"; }>;

export interface FrameSocketOptions {
    readonly socket: net.Socket;
    readonly rpcServer: JSONRPCServer;
    readonly onFrame: (frame: DataPlaneFrame) => void;
    readonly onClose: () => void;
    /** Returns this node's configuration version, which is sent in response to pings. */
    readonly configVersion: () => number;
    /** Called with what was wrong before the connection is closed because of malformed bytes or an unexpected error. */
    readonly onError?: (err: unknown) => void;
    /** Called with the other node's configuration version. */
    readonly onConfigVersion?: (version: number) => void;
}

/** Time without received data after a ping until the connection is closed. */
const KEEPALIVE_TIMEOUT_MS = 700;
const RPC_TIMEOUT_MS = 2000;

export class FrameSocket {
    readonly rpc: JSONRPCServerAndClient;
    private readonly socket: net.Socket;
    private readonly reader = new FrameReader();
    private outgoing: Buffer[] = [];
    private isFlushScheduled = false;
    private lastReadAt = steadyNow();
    private pingSentAt: number | undefined;
    private isClosed = false;

    constructor(private readonly options: FrameSocketOptions) {
        const { socket } = options;
        this.socket = socket;
        const client = new JSONRPCClient(message => this.write(encodeRpc(JSON.stringify(message))));
        this.rpc = new JSONRPCServerAndClient(options.rpcServer, client);
        socket.setNoDelay(true);
        socket.on("data", chunk => this.onData(chunk));
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.onClose());
    }

    notify(method: string, params: unknown): void {
        if (!this.isClosed) this.rpc.notify(method, params);
    }

    request(method: string, params: unknown): PromiseLike<unknown> {
        return this.rpc.timeout(RPC_TIMEOUT_MS).request(method, params);
    }

    write(frame: Buffer): void {
        if (this.isClosed) return;
        this.outgoing.push(frame);
        if (this.isFlushScheduled) return;
        this.isFlushScheduled = true;
        setImmediate(() => this.flush());
    }

    /**
     * Pings a connection on which no data has arrived for `keepaliveMs`, or closes it after a failed ping. Called at
     * regular intervals. Returns whether it closed the connection.
     */
    tick(now: number, keepaliveMs: number): boolean {
        if (this.pingSentAt === undefined) {
            if (now - this.lastReadAt >= keepaliveMs) this.ping(now);
            return false;
        }
        if (now - this.pingSentAt <= KEEPALIVE_TIMEOUT_MS) return false;
        this.destroy();
        return true;
    }

    /** When data last arrived; `undefined` while a ping is on its way. */
    get silentSince(): number | undefined {
        return this.pingSentAt === undefined ? this.lastReadAt : undefined;
    }

    /** Sends a ping. If no data follows, a later `tick` closes the connection. */
    ping(now: number): void {
        this.pingSentAt = now;
        this.write(encodeSignal("ping", 0));
    }

    destroy(): void {
        this.socket.destroy();
    }

    private flush(): void {
        this.isFlushScheduled = false;
        if (this.isClosed) return;
        const { outgoing: out } = this;
        this.outgoing = [];
        this.socket.write(out.length === 1 ? out[0]! : Buffer.concat(out));
    }

    private onData(chunk: Buffer): void {
        this.lastReadAt = steadyNow();
        this.pingSentAt = undefined;
        this.reader.feed(chunk);
        try {
            for (let frame = this.reader.next(); frame !== undefined; frame = this.reader.next()) {
                this.handleFrame(frame);
            }
        }
        catch (err) {
            // Whatever one connection sends must not end the process: this closes only the connection.
            this.options.onError?.(err);
            this.destroy();
        }
    }

    private handleFrame(frame: Frame): void {
        switch (frame.type) {
            case "ping":
                this.write(encodePong(this.options.configVersion()));
                return;
            case "pong":
                this.options.onConfigVersion?.(frame.configVersion);
                return;
            case "rpc":
                this.receiveRpc(frame.message);
                return;
            case "request":
            case "response":
            case "cancel":
            case "cutoff":
            case "silent":
                this.options.onFrame(frame);
        }
    }

    private receiveRpc(message: string): void {
        const payload: unknown = JSON.parse(message);
        if (!isRpcMessage(payload)) throw new FrameError("not a JSON-RPC message");
        this.rpc.receiveAndSend(payload as Parameters<JSONRPCServerAndClient["receiveAndSend"]>[0]).catch(
            (err: unknown) => {
                this.options.onError?.(err);
                this.destroy();
            },
        );
    }

    private onClose(): void {
        if (this.isClosed) return;
        this.isClosed = true;
        this.rpc.rejectAllPendingRequests("connection closed");
        this.options.onClose();
    }
}

/** Messages that the JSON-RPC library would reject are rejected here, since it prints them. */
function isRpcMessage(payload: unknown): boolean {
    if (typeof payload !== "object" || payload === null) return false;
    const { jsonrpc, method, id } = payload as Readonly<Record<string, unknown>>;
    return jsonrpc === "2.0" && (typeof method === "string" || typeof id === "number");
}
