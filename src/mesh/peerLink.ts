/** Connection on which this node sends requests to another node. A lost connection is reopened with backoff. */
import type { JSONRPCServer } from "json-rpc-2.0";
import net from "node:net";
import type { MemoryBudget } from "../policy/memoryBudget.ts";
import { steadyNow } from "./clock.ts";
import { encodeRequest, encodeSignal } from "./frames.ts";
import { FrameSocket } from "./frameSocket.ts";
import type { DataPlaneFrame } from "./frameSocket.ts";
import type { ForwardedRequest, LoadReport, Outcome } from "./types.ts";

/** Receives the outcome of one attempt, i.e. of a request that was sent to the node of a target. */
export interface OutcomeListener {
    onOutcome(outcome: Outcome, load: LoadReport | undefined): void;
    /** Called when the target has stopped responding. The request is still in progress, and its outcome follows. */
    onSilent(): void;
}

export interface PeerLinkOptions {
    readonly address: string;
    readonly rpcServer: JSONRPCServer;
    readonly onConnected: (link: PeerLink) => void;
    readonly onDisconnected: (link: PeerLink) => void;
    readonly onCutoff: (cutoff: number) => void;
    readonly configVersion: () => number;
    readonly onConfigVersion: (version: number) => void;
    readonly onError: (err: unknown) => void;
    /** Bounds the bytes of responses that are arriving. */
    readonly memory?: MemoryBudget | undefined;
}

/** Time without received data after which a ping is sent while responses are pending. */
const AWAITING_KEEPALIVE_MS = 300;
const CONNECT_TIMEOUT_MS = 500;
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1500;

export class PeerLink {
    private frameSocket: FrameSocket | undefined;
    private readonly listeners = new Map<number, OutcomeListener>();
    private nextStreamNumber = 1;
    private backoffMs = INITIAL_BACKOFF_MS;
    private reconnectTimer: NodeJS.Timeout | undefined;
    private isClosed = false;

    constructor(private readonly options: PeerLinkOptions) {
        this.connect();
    }

    /**
     * Sends a request; returns the stream number for `cancel`. Without a connection, reports the outcome at once and
     * returns 0, for which `cancel` does nothing.
     */
    send(req: ForwardedRequest, listener: OutcomeListener): number {
        const streamNumber = this.nextStreamNumber;
        this.nextStreamNumber = streamNumber === 0xffffffff ? 1 : streamNumber + 1;
        if (this.frameSocket === undefined) {
            listener.onOutcome({ kind: "not-run", reason: "link-down" }, undefined);
            return 0;
        }
        this.listeners.set(streamNumber, listener);
        this.frameSocket.write(encodeRequest(streamNumber, req));
        return streamNumber;
    }

    cancel(streamNumber: number): void {
        if (this.listeners.delete(streamNumber)) {
            this.frameSocket?.write(encodeSignal("cancel", streamNumber));
        }
    }

    notify(method: string, params: unknown): void {
        this.frameSocket?.notify(method, params);
    }

    request(method: string, params: unknown): PromiseLike<unknown> {
        return this.frameSocket?.request(method, params)
            ?? Promise.reject(new Error("peer is not connected"));
    }

    /** Pings the connection if it is silent for too long. Returns whether it closed the connection after a failed ping. */
    tick(now: number, idleKeepaliveMs: number): boolean {
        const keepaliveMs = this.listeners.size > 0 ? AWAITING_KEEPALIVE_MS : idleKeepaliveMs;
        return this.frameSocket?.tick(now, keepaliveMs) === true;
    }

    /** When data last arrived; `undefined` if there is no connection, or a ping is already on its way. */
    get silentSince(): number | undefined {
        return this.frameSocket?.silentSince;
    }

    ping(now: number): void {
        this.frameSocket?.ping(now);
    }

    /** If the link waits for its next attempt to connect, connects now. Called when the other node's record changes. */
    reconnectNow(): void {
        if (this.reconnectTimer === undefined) return;
        clearTimeout(this.reconnectTimer);
        this.reconnectTimer = undefined;
        this.backoffMs = INITIAL_BACKOFF_MS;
        this.connect();
    }

    close(): void {
        this.isClosed = true;
        if (this.reconnectTimer !== undefined) clearTimeout(this.reconnectTimer);
        this.frameSocket?.destroy();
    }

    private connect(): void {
        const [host, port] = this.options.address.split(":");
        const socket = net.connect({ host: host!, port: Number(port) });
        socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy());
        socket.on("error", () => socket.destroy());
        let hasConnected = false;
        socket.once("connect", () => {
            hasConnected = true;
            socket.setTimeout(0);
            this.onConnect(socket);
        });
        socket.once("close", () => {
            if (!hasConnected) this.scheduleReconnect();
        });
    }

    private onConnect(socket: net.Socket): void {
        if (this.isClosed) {
            socket.destroy();
            return;
        }
        this.backoffMs = INITIAL_BACKOFF_MS;
        this.frameSocket = new FrameSocket({
            socket,
            rpcServer: this.options.rpcServer,
            onFrame: frame => this.onFrame(frame),
            onClose: () => this.onClose(),
            configVersion: this.options.configVersion,
            onConfigVersion: this.options.onConfigVersion,
            onError: this.options.onError,
            memory: this.options.memory,
        });
        // The pong tells the other node's configuration version, which this one may have missed.
        this.frameSocket.ping(steadyNow());
        this.options.onConnected(this);
    }

    private onFrame(frame: DataPlaneFrame): void {
        if (frame.type === "cutoff") this.options.onCutoff(frame.stream);
        if (frame.type === "silent") this.listeners.get(frame.stream)?.onSilent();
        if (frame.type !== "response" && frame.type !== "dropped") return;
        const listener = this.listeners.get(frame.stream);
        if (listener === undefined) return;
        this.listeners.delete(frame.stream);
        if (frame.type === "response") listener.onOutcome(frame.outcome, frame.load);
        // The request has run, so without memory for the response its outcome is unknown to the caller.
        else listener.onOutcome({ kind: "unknown", reason: "bad-answer" }, undefined);
    }

    private onClose(): void {
        this.frameSocket = undefined;
        const pendingListeners = [...this.listeners.values()];
        this.listeners.clear();
        this.options.onDisconnected(this);
        for (const listener of pendingListeners) {
            listener.onOutcome({ kind: "unknown", reason: "link-lost" }, undefined);
        }
        this.scheduleReconnect();
    }

    private scheduleReconnect(): void {
        if (this.isClosed) return;
        const delayMs = this.backoffMs * (0.5 + Math.random());
        this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
        this.reconnectTimer = setTimeout(() => {
            this.reconnectTimer = undefined;
            this.connect();
        }, delayMs);
    }
}
