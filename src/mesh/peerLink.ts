/** The connection that this node keeps to another one to send it requests; it is opened again when it is lost. */
import type { JSONRPCServer } from "json-rpc-2.0";
import net from "node:net";
import { encodeRequest, encodeSignal } from "./frames.ts";
import { FrameSocket } from "./frameSocket.ts";
import type { DataFrame } from "./frameSocket.ts";
import type { LoadReport, Outcome, RunRequest } from "./types.ts";

/** What becomes of a request that was sent to a node. */
export interface SendListener {
    onOutcome(outcome: Outcome, load: LoadReport | undefined): void;
    /** The target has gone silent; the request is still there, and an outcome follows. */
    onSilent(): void;
}

export interface PeerLinkOptions {
    readonly address: string;
    readonly rpcServer: JSONRPCServer;
    readonly onUp: (link: PeerLink) => void;
    readonly onDown: (link: PeerLink) => void;
    readonly onCutoff: (cutoff: number) => void;
    readonly version: () => number;
    readonly onVersion: (version: number) => void;
}

const CONNECT_TIMEOUT_MS = 500;
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1500;

export class PeerLink {
    private frames: FrameSocket | undefined;
    private readonly pending = new Map<number, SendListener>();
    private nextStream = 1;
    private backoffMs = FIRST_BACKOFF_MS;
    private retryTimer: NodeJS.Timeout | undefined;
    private isClosed = false;

    constructor(private readonly options: PeerLinkOptions) {
        this.connect();
    }

    /** Sends a request; returns the number by which it can be cancelled. */
    send(req: RunRequest, listener: SendListener): number {
        const stream = this.nextStream;
        this.nextStream = stream === 0xffffffff ? 1 : stream + 1;
        if (this.frames === undefined) {
            listener.onOutcome({ kind: "not-run", reason: "link-down" }, undefined);
            return 0;
        }
        this.pending.set(stream, listener);
        this.frames.write(encodeRequest(stream, req));
        return stream;
    }

    cancel(stream: number): void {
        if (this.pending.delete(stream)) this.frames?.write(encodeSignal("cancel", stream));
    }

    notify(method: string, params: unknown): void {
        this.frames?.notify(method, params);
    }

    request(method: string, params: unknown): PromiseLike<unknown> {
        return this.frames?.request(method, params) ?? Promise.reject(new Error("not connected"));
    }

    tick(now: number): void {
        this.frames?.tick(now, this.pending.size > 0);
    }

    /** Connects at once if the link waits for its next try: there is news of the peer. */
    retryNow(): void {
        if (this.retryTimer === undefined) return;
        clearTimeout(this.retryTimer);
        this.retryTimer = undefined;
        this.backoffMs = FIRST_BACKOFF_MS;
        this.connect();
    }

    close(): void {
        this.isClosed = true;
        if (this.retryTimer !== undefined) clearTimeout(this.retryTimer);
        this.frames?.destroy();
    }

    private connect(): void {
        const [host, port] = this.options.address.split(":");
        const socket = net.connect({ host: host!, port: Number(port) });
        socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy());
        socket.on("error", () => socket.destroy());
        let isOpen = false;
        socket.once("connect", () => {
            isOpen = true;
            socket.setTimeout(0);
            this.open(socket);
        });
        socket.once("close", () => {
            if (!isOpen) this.retryLater();
        });
    }

    private open(socket: net.Socket): void {
        if (this.isClosed) {
            socket.destroy();
            return;
        }
        this.backoffMs = FIRST_BACKOFF_MS;
        this.frames = new FrameSocket({
            socket,
            rpcServer: this.options.rpcServer,
            onFrame: frame => this.onFrame(frame),
            onClose: () => this.onClose(),
            configVersion: this.options.version,
            onConfigVersion: this.options.onVersion,
        });
        this.options.onUp(this);
    }

    private onFrame(frame: DataFrame): void {
        if (frame.type === "cutoff") this.options.onCutoff(frame.stream);
        if (frame.type === "silent") this.pending.get(frame.stream)?.onSilent();
        if (frame.type !== "response") return;
        const listener = this.pending.get(frame.stream);
        if (listener === undefined) return;
        this.pending.delete(frame.stream);
        listener.onOutcome(frame.outcome, frame.load);
    }

    private onClose(): void {
        this.frames = undefined;
        const lost = [...this.pending.values()];
        this.pending.clear();
        this.options.onDown(this);
        for (const listener of lost) listener.onOutcome({ kind: "unknown", reason: "link-lost" }, undefined);
        this.retryLater();
    }

    private retryLater(): void {
        if (this.isClosed) return;
        const waitMs = this.backoffMs * (0.5 + Math.random());
        this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
        this.retryTimer = setTimeout(() => {
            this.retryTimer = undefined;
            this.connect();
        }, waitMs);
    }
}
