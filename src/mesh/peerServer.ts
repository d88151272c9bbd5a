/** Accepts connections from other nodes, runs the requests that they send, and sends the outcomes back. */
import type { JSONRPCServer } from "json-rpc-2.0";
import net from "node:net";
import { MAX_SMALL_BYTES } from "../policy/memoryBudget.ts";
import type { MemoryBudget } from "../policy/memoryBudget.ts";
import { encodePong, encodeResponse, encodeSignal } from "./frames.ts";
import { FrameSocket } from "./frameSocket.ts";
import type { DataPlaneFrame } from "./frameSocket.ts";
import type { Run, Runner } from "./runner.ts";
import type { ForwardedRequest, Outcome } from "./types.ts";

export interface PeerServerOptions {
    readonly host: string;
    readonly port: number;
    readonly runner: Runner;
    readonly configVersion: () => number;
    /** Whether the node is stopping and refuses runs for other nodes. */
    readonly isRefusingRuns: () => boolean;
    /** Handles the JSON-RPC messages of all connections. */
    readonly rpcServer: JSONRPCServer;
    readonly onConnected: (frameSocket: FrameSocket) => void;
    readonly onError: (err: unknown) => void;
    /** Time in ms for which bytes that are read now may have waited, because the process was paused. */
    readonly pauseMs: () => number;
    /** Bounds the bytes of requests that run or wait for a slot, and of their responses. */
    readonly memory?: MemoryBudget | undefined;
}

/**
 * Time without received data after which an accepted connection is pinged. The ping only has to detect eventually that
 * the other node is gone, since that node pings the connection, too.
 */
export const ACCEPTED_IDLE_KEEPALIVE_MS = 60_000;

class PeerConnection {
    readonly frameSocket: FrameSocket;
    private readonly runs = new Map<number, Run>();

    constructor(socket: net.Socket, private readonly options: PeerServerOptions, onClose: () => void) {
        this.frameSocket = new FrameSocket({
            socket,
            rpcServer: options.rpcServer,
            onFrame: frame => this.onFrame(frame),
            configVersion: options.configVersion,
            onError: options.onError,
            memory: options.memory,
            onClose: () => {
                for (const stream of [...this.runs.keys()]) this.cancel(stream);
                onClose();
            },
        });
    }

    private onFrame(frame: DataPlaneFrame): void {
        switch (frame.type) {
            case "request":
                this.runRequest(frame.stream, frame.request);
                return;
            case "cancel":
                this.cancel(frame.stream);
                return;
            case "dropped":
                this.sendOutcome(frame.stream, { kind: "not-run", reason: "memory" });
                return;
            // Only the accepting side sends these, so a frame from the connecting side is ignored.
            case "response":
            case "cutoff":
            case "silent":
        }
    }

    private runRequest(stream: number, req: ForwardedRequest): void {
        if (this.options.isRefusingRuns()) {
            this.sendOutcome(stream, { kind: "not-run", reason: "stopping" });
            return;
        }
        const bodyBytes = req.body.length;
        if (bodyBytes > 0 && this.options.memory?.tryResize(0, bodyBytes, "request") === false) {
            this.sendOutcome(stream, { kind: "not-run", reason: "memory" });
            return;
        }
        let isDone = false;
        const onDone = (outcome: Outcome) => {
            isDone = true;
            this.runs.delete(stream);
            if (bodyBytes > 0) this.options.memory?.resize(bodyBytes, 0);
            this.sendOutcome(stream, outcome);
        };
        const onSilent = () => this.frameSocket.write(encodeSignal("silent", stream));
        const leftMs = Math.max(0, req.leftMs - this.options.pauseMs());
        const run = this.options.runner.submit(leftMs === req.leftMs ? req : { ...req, leftMs }, {
            onDone,
            onSilent,
        });
        if (!isDone) this.runs.set(stream, run);
    }

    private sendOutcome(stream: number, outcome: Outcome): void {
        const { runner, configVersion, memory } = this.options;
        const load = runner.loadReport(configVersion());
        const bytes = outcome.kind === "answer" ? outcome.body.length : 0;
        if (bytes <= MAX_SMALL_BYTES || memory === undefined) {
            this.frameSocket.write(encodeResponse(stream, outcome, load));
        }
        else if (memory.tryResize(0, bytes, "response")) {
            this.frameSocket.write(encodeResponse(stream, outcome, load), () => memory.resize(bytes, 0));
        }
        // The request has run, so without memory for the response its outcome is unknown to the caller.
        else this.frameSocket.write(encodeResponse(stream, { kind: "unknown", reason: "bad-answer" }, load));
    }

    /** A run that is not cancelled, since it may not be, releases its memory when it is done. */
    private cancel(stream: number): void {
        const run = this.runs.get(stream);
        if (run === undefined) return;
        this.runs.delete(stream);
        this.options.runner.cancel(run);
        if (run.isDone) this.options.memory?.resize(run.req.body.length, 0);
    }
}

export class PeerServer {
    private readonly server: net.Server;
    private readonly connections = new Set<PeerConnection>();

    constructor(private readonly options: PeerServerOptions) {
        this.server = net.createServer(socket => this.accept(socket));
    }

    async listen(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen({ host: this.options.host, port: this.options.port, backlog: 1024 }, resolve);
        });
    }

    /** Sends the admission cutoff of the local target to all connected nodes. */
    broadcastCutoff(cutoff: number): void {
        for (const conn of this.connections) conn.frameSocket.write(encodeSignal("cutoff", cutoff));
    }

    /** Sends the version of a new configuration to all connected nodes. */
    broadcastConfigVersion(version: number): void {
        for (const conn of this.connections) conn.frameSocket.write(encodePong(version));
    }

    tick(now: number): void {
        for (const conn of this.connections) conn.frameSocket.tick(now, ACCEPTED_IDLE_KEEPALIVE_MS);
    }

    close(): void {
        this.server.close();
        for (const conn of this.connections) conn.frameSocket.destroy();
    }

    private accept(socket: net.Socket): void {
        const conn = new PeerConnection(socket, this.options, () => this.connections.delete(conn));
        this.connections.add(conn);
        this.options.onConnected(conn.frameSocket);
    }
}
