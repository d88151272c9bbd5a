/** The `peer` listener, for runs and control messages from other nodes and for the requests of operators. */
import type { FastifyInstance } from "fastify";
import type { JSONRPCRequest } from "json-rpc-2.0";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HttpRequest } from "./exchanges.ts";
import { fingerprintOf } from "./exchanges.ts";
import { callContextOf } from "./headers.ts";
import { addRawRoute, createRunResponder, createServer, receiveRequest } from "./httpServers.ts";
import type { Metrics } from "./metrics.ts";
import { safeParseJson } from "./parse.ts";
import type { PeerAuth } from "./peerAuth.ts";
import {
    requestSignatureParts,
    responseSignatureParts,
    runSignatureParts,
    SIGNATURE_HEADER,
} from "./peerAuth.ts";
import type { PeerRequest, PeerResponse } from "./peerMessages.ts";
import { missingRequirements } from "./readiness.ts";
import { createRpcServer } from "./rpc.ts";
import type { RunExchanges } from "./runExchanges.ts";
import type { NodeState } from "./state.ts";
import { statusOf } from "./status.ts";
import type { Member } from "./types.ts";

export interface PeerServerOptions {
    readonly self: Member;
    readonly state: () => NodeState;
    readonly runs: RunExchanges;
    readonly metrics: Metrics;
    readonly auth: PeerAuth;
    readonly handleRpc: (req: PeerRequest) => Promise<PeerResponse>;
}

export function createPeerServer(opts: PeerServerOptions): FastifyInstance {
    const server = createServer();
    addOperatorRoutes(server, opts);
    addRpcRoute(server, opts);
    addRawRoute(server, "/run/*", (req, res) => {
        receiveRequest(
            req,
            (req.url ?? "").slice("/run".length),
            httpRequest => receiveRun(opts, req, res, httpRequest),
        );
    });
    return server;
}

function addOperatorRoutes(server: FastifyInstance, opts: PeerServerOptions): void {
    const { metrics } = opts;
    server.get("/status", async () => statusOf(opts.state(), await metrics.allValues()));
    server.get(
        "/metrics",
        async (_req, reply) =>
            reply.type(metrics.registry.contentType).send(await metrics.registry.metrics()),
    );
    server.get("/healthz", async () => ({ alive: true }));
    server.get("/readyz", async (_req, reply) => {
        const missing = missingRequirements(opts.state());
        // `apply` polls the version here because `/status` returns a large response with all members.
        const version = opts.state().control.config?.number ?? 0;
        return reply.code(missing.length === 0 ? 200 : 503).send({
            ready: missing.length === 0,
            missing,
            version,
        });
    });
}

function addRpcRoute(server: FastifyInstance, opts: PeerServerOptions): void {
    const { metrics, auth } = opts;
    const rpc = createRpcServer({
        handle: opts.handleRpc,
        onBadMessage: reason => metrics.count("bad_messages", reason),
    });
    server.post("/rpc", async (req, reply) => {
        const body = String(req.body);
        metrics.count("control_bytes_received", "rpc", Buffer.byteLength(body));
        const signature = req.headers[SIGNATURE_HEADER];
        const failure = auth.verify(signature, requestSignatureParts(opts.self.address, body));
        if (failure !== undefined) {
            metrics.count("bad_messages", failure);
            return reply.code(403).send({ error: `${SIGNATURE_HEADER}: ${failure}` });
        }
        const json = safeParseJson(body);
        if (!json.success) {
            metrics.count("bad_messages", "json");
            return reply.code(400).send({ error: "body: not valid JSON" });
        }
        const responseBody = JSON.stringify(await rpc.receive(json.value as JSONRPCRequest) ?? {});
        metrics.count("control_bytes_sent", "rpc", Buffer.byteLength(responseBody));
        const responseSignature = auth.sign(responseSignatureParts(String(signature), responseBody));
        if (responseSignature !== undefined) reply.header(SIGNATURE_HEADER, responseSignature);
        return reply.type("application/json").send(responseBody);
    });
}

function receiveRun(
    opts: PeerServerOptions,
    req: IncomingMessage,
    res: ServerResponse,
    httpRequest: HttpRequest,
): void {
    const ctx = callContextOf(req.headers);
    const failure = ctx === undefined
        ? "call-context"
        : opts.auth.verify(
            req.headers[SIGNATURE_HEADER],
            runSignatureParts(opts.self.address, String(req.headers["fp-call"]), httpRequest),
        );
    if (ctx === undefined || failure !== undefined) {
        opts.metrics.count("bad_messages", failure ?? "call-context");
        res.writeHead(ctx === undefined ? 400 : 403, { "content-length": "0", "connection": "close" }).end();
        return;
    }
    const run = opts.runs.start(
        ctx,
        httpRequest,
        createRunResponder(req, res),
        fingerprintOf(opts.self.service, httpRequest),
    );
    res.once("close", () => {
        if (!res.writableFinished) opts.runs.abandon(run);
    });
}
