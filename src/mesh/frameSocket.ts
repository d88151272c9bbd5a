/**
 * Connection between two nodes. Frames written in one turn of the event loop are sent in one system call. A connection
 * on which no data arrives is pinged, sooner while responses are pending, and closed if no data follows the ping.
 */
import { JSONRPCClient, JSONRPCServerAndClient } from "json-rpc-2.0";
import type { JSONRPCServer } from "json-rpc-2.0";
import type net from "node:net";
import type { MemoryBudget } from "../policy/memoryBudget.ts";
import { steadyNow } from "./clock.ts";
import { FrameReader } from "./frameReader.ts";
import { encodePong, encodeRpc, encodeSignal, FrameError } from "./frames.ts";
import type { EncodedFrame, Frame } from "./frames.ts";

/** Frames about requests and admission. The socket itself handles pings, pongs and JSON-RPC messages. */
export type DataPlaneFrame = Exclude<Frame, { type: "ping" | "pong" | "rpc"; }>;

export interface FrameSocketOptions {
    readonly socket: net.Socket;
    readonly rpcServer: JSONRPCServer;
    readonly onFrame: (frame: DataPlaneFrame) => void;
    readonly onClose: () => void;
    /** Bounds the bytes of large frames. */
    readonly memory?: MemoryBudget | undefined;
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
/** Up to this size, joining the frames costs less than writing them one by one. */
const MAX_JOINED_WRITE_BYTES = 64 * 1024;

export class FrameSocket {
    readonly rpc: JSONRPCServerAndClient;
    private readonly socket: net.Socket;
    private readonly reader: FrameReader;
    private outgoing: Buffer[] = [];
    private outgoingBytes = 0;
    /** Listeners of the frames in `outgoing`. */
    private sentListeners: (() => void)[] = [];
    /** All listeners that have not been called. */
    private readonly pendingListeners = new Set<() => void>();
    private isFlushScheduled = false;
    private lastReadAt = steadyNow();
    private pingSentAt: number | undefined;
    private isClosed = false;

    constructor(private readonly options: FrameSocketOptions) {
        const { socket } = options;
        this.socket = socket;
        this.reader = new FrameReader(options.memory);
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

    /** `onSent` is called once, when the frame has been passed to the operating system or the connection has closed. */
    write(frame: EncodedFrame, onSent?: () => void): void {
        if (this.isClosed) {
            onSent?.();
            return;
        }
        if (Buffer.isBuffer(frame)) this.push(frame);
        else for (const buffer of frame) this.push(buffer);
        if (onSent !== undefined) {
            this.sentListeners.push(onSent);
            this.pendingListeners.add(onSent);
        }
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
        const { outgoing: out, outgoingBytes, sentListeners } = this;
        this.outgoing = [];
        this.outgoingBytes = 0;
        if (sentListeners.length > 0) this.sentListeners = [];
        if (this.isClosed) return;
        const onSent = sentListeners.length === 0 ? undefined : () => this.callListeners(sentListeners);
        if (out.length === 1) this.socket.write(out[0]!, onSent);
        else if (outgoingBytes <= MAX_JOINED_WRITE_BYTES) this.socket.write(Buffer.concat(out), onSent);
        else this.writeSeparately(out, onSent);
    }

    /** Sends many bytes in one system call without copying them. */
    private writeSeparately(buffers: readonly Buffer[], onSent: (() => void) | undefined): void {
        this.socket.cork();
        const last = buffers.length - 1;
        for (let index = 0; index < last; index++) this.socket.write(buffers[index]!);
        this.socket.write(buffers[last]!, onSent);
        this.socket.uncork();
    }

    private callListeners(listeners: Iterable<() => void>): void {
        for (const listener of listeners) if (this.pendingListeners.delete(listener)) listener();
    }

    private push(buffer: Buffer): void {
        this.outgoing.push(buffer);
        this.outgoingBytes += buffer.length;
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
            case "dropped":
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
        this.reader.close();
        this.callListeners([...this.pendingListeners]);
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
