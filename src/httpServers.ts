/** The three HTTP listeners of a node: `entry` for callers outside, `egress` for the local target, `peer` for nodes. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { fastify } from "fastify";
import { randomBytes } from "node:crypto";
import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream";
import type { CallReply, HttpRequest, RunReply } from "./exchanges.ts";
import { answerHeaders, traceIdOf } from "./headers.ts";
import type { NotRun, Unknown } from "./types.ts";

/** Larger request bodies are refused with 413. */
export const BODY_LIMIT_BYTES = 1024 * 1024;
const MS_PER_S = 1_000;

/** A fastify instance that hands every body over as bytes. */
export function createServer(): FastifyInstance {
    const app = fastify({ bodyLimit: BODY_LIMIT_BYTES, logger: false, forceCloseConnections: true });
    app.removeAllContentTypeParsers();
    app.addContentTypeParser("*", { parseAs: "buffer" }, (_req, body, done) => done(null, body));
    return app;
}

export function toHttpRequest(req: FastifyRequest, path: string): HttpRequest {
    return {
        method: req.method,
        path,
        headers: req.headers,
        body: Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0),
    };
}

/** The trace id of a request, or a new one. */
export function requestIdOf(req: FastifyRequest): { readonly requestId: string; readonly tracked: boolean; } {
    const traceId = traceIdOf(req.headers);
    return { requestId: traceId ?? randomBytes(16).toString("hex"), tracked: traceId !== undefined };
}

/** HTTP status of a refusal to a caller. */
export function refusalStatus(outcome: NotRun | Unknown): number {
    switch (outcome.reason) {
        case "unknown-service":
            return 404;
        case "unknown-kind":
            return 400;
        case "in-progress":
        case "key-conflict":
        case "already-run":
        case "key-expired":
            return 409;
        case "deadline":
            return 504;
        default:
            return outcome.type === "not-run" ? 503 : 502;
    }
}

export function createCallReply(reply: FastifyReply): CallReply {
    reply.hijack();
    const res = reply.raw;
    return {
        relay: (answer, done) => {
            res.writeHead(answer.status, answer.headers);
            pipeline(answer.body, res, err => done(!err));
        },
        refuse: (outcome, requestId) => {
            const retryAfterMs = outcome.type === "not-run" ? outcome.retryAfterMs : 0;
            const headers: Record<string, string> = retryAfterMs > 0
                ? { "retry-after": String(Math.ceil(retryAfterMs / MS_PER_S)) }
                : {};
            const body = { outcome: outcome.type, reason: outcome.reason, requestId, retryAfterMs };
            sendJson(res, refusalStatus(outcome), body, headers);
        },
    };
}

export function createRunReply(reply: FastifyReply): RunReply {
    reply.hijack();
    const res = reply.raw;
    return {
        relay: (answer, retriesLeft, load) => {
            const ours = answerHeaders({ type: "ran", status: answer.status }, retriesLeft, load);
            res.writeHead(answer.status, { ...answer.headers, ...ours });
            pipeline(answer.body, res, () => undefined);
        },
        refuse: (outcome, retriesLeft, load) => {
            res.writeHead(refusalStatus(outcome), {
                ...answerHeaders(outcome, retriesLeft, load),
                "content-length": "0",
            });
            res.end();
        },
    };
}

function sendJson(
    res: ServerResponse,
    status: number,
    body: object,
    headers: Readonly<Record<string, string>>,
): void {
    if (res.destroyed) return;
    const text = JSON.stringify(body);
    res.writeHead(status, {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(text)),
        ...headers,
    });
    res.end(text);
}
