/** Carries out the reducer's effects and feeds it events: the only place of a node that does I/O. */
import type { FastifyInstance, FastifyRequest } from "fastify";
import type { JSONRPCRequest } from "json-rpc-2.0";
import { randomBytes } from "node:crypto";
import { CallExchanges } from "./callExchanges.ts";
import type { Effect } from "./effects.ts";
import { messageOf } from "./errors.ts";
import type { EventBody } from "./events.ts";
import { fingerprintOf } from "./exchanges.ts";
import { baggageMember, callContextOf } from "./headers.ts";
import { HttpClients } from "./httpClients.ts";
import { createCallReply, createRunReply, createServer, requestIdOf, toHttpRequest } from "./httpServers.ts";
import { createNodeState } from "./initialState.ts";
import { logEvent } from "./log.ts";
import { LogClient } from "./logClient.ts";
import { Metrics } from "./metrics.ts";
import { safeParse, safeParseJson } from "./parse.ts";
import type { PeerRequest, PeerResponse } from "./peerMessages.ts";
import { reduce } from "./reducer.ts";
import { createRpcServer, sendRpc } from "./rpc.ts";
import { RunExchanges } from "./runExchanges.ts";
import { announcementSchema } from "./schemas.ts";
import type { NodeSettings } from "./settings.ts";
import type { NodeState } from "./state.ts";
import { statusOf } from "./status.ts";
import type { Address, Member } from "./types.ts";
import { assertNever } from "./types.ts";
import { Wakes } from "./wakes.ts";

const NS_PER_MS = 1_000_000;

export interface NodeRuntimeOptions {
    readonly settings: NodeSettings;
    /** Called when the node has drained. */
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
    private readonly servers: FastifyInstance[] = [];
    private readonly queue: EventBody[] = [];
    private dispatching = false;
    private readonly rpcAnswers = new Map<number, (response: PeerResponse) => void>();
    private nextRpc = 1;
    private readonly wakes = new Wakes({ now: monotonicMs, onWake: () => this.dispatch({ type: "wake" }) });
    private stopped = false;

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
        this.log = new LogClient(settings.logUrl);
        const dispatch = (event: EventBody) => this.dispatch(event);
        this.runs = new RunExchanges({
            clients: this.clients,
            dispatch,
            spanId: () => randomBytes(8).toString("hex"),
        });
        this.calls = new CallExchanges({
            selfId: this.self.id,
            clients: this.clients,
            runs: this.runs,
            dispatch,
        });
        this.metrics.registerLoad(() => ({
            level: this.state.admission.level,
            inFlight: this.state.admission.inFlight,
            limit: this.state.admission.limit,
        }));
    }

    async start(): Promise<void> {
        const { settings } = this.opts;
        await this.listen(this.createPeerServer(), settings.peer);
        await this.listen(this.createEgressServer(), settings.egress);
        await this.listen(this.createEntryServer(), settings.entry);
        logEvent("started", { id: this.self.id, service: this.self.service });
        this.dispatch({ type: "wake" });
    }

    /** Asks for a planned stop. */
    drain(): void {
        this.dispatch({ type: "drain_requested", source: "signal" });
    }

    async stop(): Promise<void> {
        this.stopped = true;
        this.wakes.stop();
        await Promise.allSettled(this.servers.map(server => server.close()));
        await Promise.allSettled([this.clients.close(), this.log.close()]);
    }

    private async listen(server: FastifyInstance, address: Address): Promise<void> {
        this.servers.push(server);
        await server.listen({ host: address.host, port: address.port });
    }

    /** Runs the reducer on an event and carries out its effects; events raised meanwhile wait their turn. */
    private dispatch(event: EventBody): void {
        this.queue.push(event);
        if (this.dispatching) return;
        this.dispatching = true;
        try {
            for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
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
            this.dispatching = false;
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
                void this.readLog(effect.from, effect.waitMs);
                return;
            case "append":
                void this.append(effect);
                return;
            case "send_datagram":
                return;
            case "send_rpc":
                void this.sendRpc(effect);
                return;
            case "answer_rpc":
                this.rpcAnswers.get(effect.token)?.(effect.response);
                this.rpcAnswers.delete(effect.token);
                return;
            case "wake_at":
                return this.wakes.schedule(effect.at);
            case "exit":
                return this.opts.onExit();
            case "count":
                return this.metrics.count(effect.counter, effect.label, effect.by);
            case "log":
                return logEvent(effect.event, effect.fields);
            default:
                return assertNever(effect);
        }
    }

    private async readLog(from: number, waitMs: number): Promise<void> {
        const askedAt = monotonicMs();
        try {
            const result = await this.log.read(from, waitMs);
            if (this.stopped) return;
            if (result.type === "gone") {
                return this.dispatch({ type: "log_gone", first: result.first, next: result.next });
            }
            const { first, next, tail, records } = result.batch;
            this.dispatch({ type: "log_read", askedAt, first, next, atTail: next >= tail, records });
        }
        catch (err) {
            if (this.stopped) return;
            logEvent("log-read-failed", { message: messageOf(err) });
            this.dispatch({ type: "log_failed" });
        }
    }

    private async append(effect: Extract<Effect, { type: "append"; }>): Promise<void> {
        const { id } = effect.record;
        const offset = await this.log.append(effect.record).catch(() => undefined);
        if (!this.stopped) this.dispatch({ type: "append_ended", id, offset });
    }

    private async sendRpc(effect: Extract<Effect, { type: "send_rpc"; }>): Promise<void> {
        const askedAt = monotonicMs();
        const response = await sendRpc(this.clients, effect.to, effect.request, effect.timeoutMs);
        if (!this.stopped) this.dispatch({ type: "rpc_ended", token: effect.token, askedAt, response });
    }

    private answerRpc(request: PeerRequest): Promise<PeerResponse> {
        const token = this.nextRpc++;
        return new Promise(resolve => {
            this.rpcAnswers.set(token, resolve);
            this.dispatch({ type: "rpc_received", token, request });
        });
    }

    private createPeerServer(): FastifyInstance {
        const server = createServer();
        const rpc = createRpcServer({
            answer: req => this.answerRpc(req),
            onBadMessage: reason => this.metrics.count("bad_messages", reason),
        });
        server.post("/rpc", async (req, reply) => {
            const json = safeParseJson(String(req.body));
            if (!json.success) return reply.code(400).send({ error: "body: not valid JSON" });
            const response = await rpc.receive(json.value as JSONRPCRequest);
            return reply.send(response ?? {});
        });
        server.get("/status", async () => statusOf(this.state, await this.metrics.allValues()));
        server.get(
            "/metrics",
            async (_req, reply) =>
                reply.type(this.metrics.registry.contentType).send(await this.metrics.registry.metrics()),
        );
        server.get("/healthz", async () => ({ alive: true }));
        server.get("/readyz", async (_req, reply) => {
            const ready = this.state.control.config !== undefined && !this.state.draining;
            // `apply` polls this: a small answer, unlike the status, which lists all members.
            const version = this.state.control.config?.number ?? 0;
            return reply.code(ready ? 200 : 503).send({ ready, version });
        });
        server.all("/run/*", (req, reply) => {
            const ctx = callContextOf(req.headers);
            if (ctx === undefined) {
                this.metrics.count("bad_messages", "call-context");
                return reply.code(400).send({ error: "fp-call: not a valid call context" });
            }
            const http = toHttpRequest(req, req.url.slice("/run".length));
            const run = this.runs.start(
                ctx,
                http,
                createRunReply(reply),
                fingerprintOf(this.self.service, http),
            );
            reply.raw.once("close", () => {
                if (!reply.raw.writableFinished) this.dispatch({ type: "run_cancelled", run });
            });
            return reply;
        });
        return server;
    }

    private createEntryServer(): FastifyInstance {
        const server = createServer();
        server.all("/*", (req, reply) => {
            const { requestId } = requestIdOf(req);
            const http = toHttpRequest(req, req.url);
            const reply1 = createCallReply(reply);
            const call = this.calls.start(
                {
                    from: "entry",
                    service: this.self.service,
                    requestId,
                    tracked: true,
                    replayable: true,
                    ...this.claimsOf(req),
                },
                http,
                reply1,
            );
            reply.raw.once("close", () => {
                if (!reply.raw.writableFinished) this.calls.abandon(call);
            });
            return reply;
        });
        return server;
    }

    private createEgressServer(): FastifyInstance {
        const server = createServer();
        server.post("/announce", async (req, reply) => {
            const json = safeParseJson(String(req.body));
            const parsed = json.success ? safeParse(announcementSchema, json.value) : json;
            if (!parsed.success) return reply.code(400).send({ error: "announce", issues: parsed.issues });
            if (parsed.value.service !== this.self.service) {
                return reply.code(400).send({ error: `service: this node serves ${this.self.service}` });
            }
            this.dispatch({ type: "target_announced", address: parsed.value.address });
            return reply.send({ node: this.self.id });
        });
        server.post("/drain", async (_req, reply) => {
            this.dispatch({ type: "drain_requested", source: "target" });
            return reply.send({ draining: true });
        });
        server.all("/:service/*", (req, reply) => {
            const { service } = req.params as { service: string; };
            const call = this.calls.start(
                { from: "egress", service, ...requestIdOf(req), replayable: true, ...this.claimsOf(req) },
                toHttpRequest(req, req.url.slice(service.length + 1)),
                createCallReply(reply),
            );
            reply.raw.once("close", () => {
                if (!reply.raw.writableFinished) this.calls.abandon(call);
            });
            return reply;
        });
        return server;
    }

    /** What a caller claims of its request; the reducer checks it against the configuration. */
    private claimsOf(
        req: FastifyRequest,
    ): { readonly kind?: string; readonly key?: string; readonly deadlineMs?: number; } {
        const kind = baggageMember(req.headers, "fp.kind");
        const key = req.headers["idempotency-key"];
        const deadlineMs = Number(req.headers["x-request-deadline-ms"]);
        return {
            ...(kind === undefined ? {} : { kind }),
            ...(typeof key === "string" ? { key } : {}),
            ...(deadlineMs > 0 ? { deadlineMs } : {}),
        };
    }
}

export function monotonicMs(): number {
    return Number(process.hrtime.bigint()) / NS_PER_MS;
}
