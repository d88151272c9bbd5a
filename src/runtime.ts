/**
 * Event loop of a node. It passes events to the reducer and performs the effects that the reducer returns. The
 * reducer does no I/O itself.
 */
import { randomBytes } from "node:crypto";
import { CallExchanges } from "./callExchanges.ts";
import { DatagramSocket } from "./datagrams.ts";
import type { Effect } from "./effects.ts";
import { createEgressServer } from "./egressServer.ts";
import { createEntryServer } from "./entryServer.ts";
import { messageOf } from "./errors.ts";
import type { EventBody } from "./events.ts";
import { createSpanId } from "./headers.ts";
import { HttpClients } from "./httpClients.ts";
import { createNodeState } from "./initialState.ts";
import { logEvent } from "./log.ts";
import { LogClient } from "./logClient.ts";
import { Metrics } from "./metrics.ts";
import { PeerAuth } from "./peerAuth.ts";
import type { PeerRequest, PeerResponse } from "./peerMessages.ts";
import { createPeerServer } from "./peerServer.ts";
import { reduce } from "./reducer.ts";
import { sendRpc } from "./rpc.ts";
import { RunExchanges } from "./runExchanges.ts";
import { ServerGroup } from "./serverGroup.ts";
import type { NodeSettings } from "./settings.ts";
import type { NodeState } from "./state.ts";
import type { Member } from "./types.ts";
import { assertNever } from "./types.ts";
import { WakeTimer } from "./wakeTimer.ts";

const NS_PER_MS = 1_000_000;
/**
 * How long a drained node continues to respond before it closes its connections. Each response in this time also
 * closes its own connection, so few are left on which a request could arrive just as the node closes them.
 */
const SHUTDOWN_DELAY_MS = 500;

export interface NodeRuntimeOptions {
    readonly settings: NodeSettings;
    /** Called when the node has drained and closed all connections. */
    readonly onExit: () => void;
}

export class NodeRuntime {
    readonly self: Member;
    readonly metrics = new Metrics();
    private state: NodeState;
    private readonly opts: NodeRuntimeOptions;
    private readonly clients = new HttpClients();
    private readonly log: LogClient;
    private readonly runs: RunExchanges;
    private readonly calls: CallExchanges;
    private readonly servers = new ServerGroup();
    private readonly datagramSocket: DatagramSocket;
    private readonly auth: PeerAuth;
    private readonly eventQueue: EventBody[] = [];
    private isDispatching = false;
    private readonly rpcResponders = new Map<number, (response: PeerResponse) => void>();
    private nextRpcToken = 1;
    private readonly wakeTimer = new WakeTimer({
        now: monotonicMs,
        wake: () => this.dispatch({ type: "wake" }),
    });
    private isStopped = false;
    private isExiting = false;

    constructor(opts: NodeRuntimeOptions) {
        const { settings } = opts;
        this.opts = opts;
        this.self = {
            id: randomBytes(8).toString("hex"),
            service: settings.service,
            address: settings.peer,
            dataCentre: settings.dataCentre,
        };
        this.state = createNodeState({ self: this.self, joinAddresses: settings.join });
        this.log = new LogClient(
            settings.logUrl,
            (direction, bytes) => this.countBytes(direction, "log", bytes),
        );
        this.auth = new PeerAuth(settings.peerKey);
        this.datagramSocket = new DatagramSocket({
            self: settings.peer,
            auth: this.auth,
            onDatagram: (from, datagram) => this.dispatch({ type: "datagram_received", from, datagram }),
            onFailure: reason => this.metrics.count("bad_messages", reason),
            onBytes: (direction, bytes) => this.countBytes(direction, "datagram", bytes),
        });
        const dispatch = (event: EventBody) => this.dispatch(event);
        const observe = (phase: string, latencyMs: number) => this.metrics.observe(phase, latencyMs);
        this.runs = new RunExchanges({
            clients: this.clients,
            dispatch,
            now: monotonicMs,
            observe,
            spanId: createSpanId,
        });
        this.calls = new CallExchanges({
            selfId: this.self.id,
            clients: this.clients,
            runs: this.runs,
            auth: this.auth,
            dispatch,
            now: monotonicMs,
            observe,
        });
        this.metrics.registerLoadGauges(() => ({
            level: this.state.admission.cutoff,
            inFlight: this.state.admission.inFlight,
            limit: this.state.admission.limit,
        }));
    }

    async start(): Promise<void> {
        const { settings } = this.opts;
        const { self, calls } = this;
        const dispatch = (event: EventBody) => this.dispatch(event);
        const peer = createPeerServer({
            self,
            state: () => this.state,
            runs: this.runs,
            metrics: this.metrics,
            auth: this.auth,
            handleRpc: req => this.handleRpc(req),
        });
        await this.datagramSocket.listen();
        await this.servers.listen(peer, settings.peer);
        await this.servers.listen(createEgressServer({ self, calls, dispatch }), settings.egress);
        await this.servers.listen(createEntryServer({ service: self.service, calls }), settings.entry);
        logEvent("started", { id: self.id, service: self.service });
        this.dispatch({ type: "wake" });
    }

    /** Starts to drain the node. `onExit` is called when the node has drained and closed all connections. */
    drain(): void {
        this.dispatch({ type: "drain_requested", source: "signal" });
    }

    /** Stops the node; draining is up to the caller. HTTP requests in progress may finish (see `ServerGroup.close`). */
    async stop(): Promise<void> {
        await this.servers.close();
        this.isStopped = true;
        this.wakeTimer.stop();
        this.datagramSocket.close();
        await Promise.allSettled([this.clients.close(), this.log.close()]);
    }

    private async exit(): Promise<void> {
        if (this.isExiting) return;
        this.isExiting = true;
        this.servers.disableKeepAlive();
        await new Promise(resolve => setTimeout(resolve, SHUTDOWN_DELAY_MS));
        await this.stop();
        this.opts.onExit();
    }

    private countBytes(direction: "sent" | "received", channel: string, bytes: number): void {
        this.metrics.count(`control_bytes_${direction}`, channel, bytes);
    }

    /** Reduces an event and performs its effects. Events that occur meanwhile are queued and handled in order. */
    private dispatch(event: EventBody): void {
        this.eventQueue.push(event);
        if (this.isDispatching) return;
        this.isDispatching = true;
        try {
            for (let next = this.eventQueue.shift(); next !== undefined; next = this.eventQueue.shift()) {
                const { state, effects } = reduce(this.state, {
                    ...next,
                    now: monotonicMs(),
                    rand: Math.random(),
                });
                this.state = state;
                for (const effect of effects) this.perform(effect);
            }
        }
        finally {
            this.isDispatching = false;
        }
    }

    private perform(effect: Effect): void {
        switch (effect.type) {
            case "send_attempt":
                return this.calls.send(effect);
            case "cancel_attempt":
                return this.calls.cancelAttempt(effect);
            case "relay_answer":
                return this.calls.relay(effect);
            case "refuse_call":
                return this.calls.refuse(effect);
            case "forward_run":
                return this.runs.forward(effect);
            case "cancel_run":
                return this.runs.cancel(effect.run);
            case "refuse_run":
                return this.runs.refuse(effect);
            case "relay_run":
                return this.runs.relay(effect);
            case "replay_run":
                return this.runs.replay(effect);
            case "read_log":
                void this.readLog(effect.fromOffset, effect.waitMs);
                return;
            case "append":
                void this.append(effect);
                return;
            case "send_datagram":
                this.metrics.count("control_messages", effect.datagram.type);
                return this.datagramSocket.send(effect.to, effect.datagram);
            case "send_rpc":
                void this.sendRpc(effect);
                return;
            case "answer_rpc":
                this.rpcResponders.get(effect.token)?.(effect.response);
                this.rpcResponders.delete(effect.token);
                return;
            case "wake_at":
                return this.wakeTimer.wakeAt(effect.at);
            case "exit":
                void this.exit();
                return;
            case "count":
                return this.metrics.count(effect.counter, effect.label, effect.by);
            case "log":
                return logEvent(effect.event, effect.fields);
            default:
                return assertNever(effect);
        }
    }

    private async readLog(fromOffset: number, waitMs: number): Promise<void> {
        const sentAt = monotonicMs();
        try {
            const result = await this.log.read(fromOffset, waitMs);
            if (this.isStopped) return;
            if (result.type === "gone") {
                return this.dispatch({ type: "log_truncated", first: result.first, next: result.next });
            }
            const { first, next, tail, records } = result.batch;
            this.dispatch({ type: "log_read", sentAt, first, next, atTail: next >= tail, records });
        }
        catch (err) {
            if (this.isStopped) return;
            logEvent("log-read-failed", { message: messageOf(err) });
            this.dispatch({ type: "log_read_failed" });
        }
    }

    private async append(effect: Extract<Effect, { type: "append"; }>): Promise<void> {
        const { id } = effect.record;
        const offset = await this.log.append(effect.record).catch(() => undefined);
        if (!this.isStopped) this.dispatch({ type: "append_ended", id, offset });
    }

    private async sendRpc(effect: Extract<Effect, { type: "send_rpc"; }>): Promise<void> {
        const sentAt = monotonicMs();
        const { clients, auth, metrics } = this;
        const response = await sendRpc(
            { clients, auth, metrics },
            effect.to,
            effect.request,
            effect.timeoutMs,
        );
        if (!this.isStopped) this.dispatch({ type: "rpc_ended", token: effect.token, sentAt, response });
    }

    /** Passes a request to the reducer, and resolves with the response in its `answer_rpc` effect. */
    private handleRpc(request: PeerRequest): Promise<PeerResponse> {
        const token = this.nextRpcToken++;
        return new Promise(resolve => {
            this.rpcResponders.set(token, resolve);
            this.dispatch({ type: "rpc_received", token, request });
        });
    }
}

export function monotonicMs(): number {
    return Number(process.hrtime.bigint()) / NS_PER_MS;
}
