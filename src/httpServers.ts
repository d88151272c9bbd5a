/** Receives HTTP requests on the listeners of a node and sends the responses. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { fastify } from "fastify";
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import type { CallResponder, HttpRequest, RunResponder } from "./exchanges.ts";
import { baggageMember, createTraceId, runResponseHeaders, traceIdOf } from "./headers.ts";
import { uuidAgeMs } from "./keys.ts";
import type { NotRun, Unknown } from "./types.ts";

/** Larger bodies of calls and runs are streamed. Larger control messages are rejected with status 413. */
export const BODY_LIMIT_BYTES = 1024 * 1024;
const MS_PER_S = 1_000;

/** Creates a Fastify server that gives its handlers the request body as text. */
export function createServer(): FastifyInstance {
    const app = fastify({ bodyLimit: BODY_LIMIT_BYTES, logger: false, exposeHeadRoutes: false });
    app.removeAllContentTypeParsers();
    app.addContentTypeParser("*", { parseAs: "string" }, (_req, body, done) => done(null, body));
    return app;
}

export type RawRequestHandler = (req: IncomingMessage, res: ServerResponse, params: unknown) => void;

/** Adds a route for calls or runs. Its handler gets the objects of `node:http`, with the request body still unread. */
export function addRawRoute(app: FastifyInstance, path: string, handle: RawRequestHandler): void {
    app.all(path, {
        onRequest: (req: FastifyRequest, reply: FastifyReply) => {
            reply.hijack();
            handle(req.raw, reply.raw, req.params);
        },
    }, () => undefined);
}

/**
 * Calls the handler when the whole body has been read, or with a stream as soon as more than `BODY_LIMIT_BYTES`
 * have arrived. If the client disconnects earlier, the handler is not called.
 */
export function receiveRequest(
    req: IncomingMessage,
    path: string,
    handle: (req: HttpRequest) => void,
): void {
    const head = { method: req.method ?? "GET", path, headers: req.headers };
    req.on("error", () => undefined);
    if (!hasBody(req.headers)) return handle({ ...head, body: Buffer.alloc(0) });
    const chunks: Buffer[] = [];
    let size = 0;
    const onData = (chunk: Buffer) => {
        chunks.push(chunk);
        size += chunk.length;
        if (size <= BODY_LIMIT_BYTES) return;
        req.off("data", onData).off("end", onEnd).pause();
        const body = Buffer.concat(chunks);
        req.unshift(body);
        handle({ ...head, body, stream: req });
    };
    const onEnd = () => handle({ ...head, body: Buffer.concat(chunks) });
    req.on("data", onData).once("end", onEnd);
}

function hasBody(headers: IncomingHttpHeaders): boolean {
    const length = headers["content-length"];
    return headers["transfer-encoding"] !== undefined || (length !== undefined && length !== "0");
}

/** Returns the trace id of a request as its id, or a new id with `tracked` false when the request has none. */
export function requestIdOf(
    headers: IncomingHttpHeaders,
): { readonly requestId: string; readonly tracked: boolean; } {
    const traceId = traceIdOf(headers);
    return { requestId: traceId ?? createTraceId(), tracked: traceId !== undefined };
}

/** What a caller states about its call in the request headers. */
export interface CallOptions {
    readonly kind?: string | undefined;
    readonly key?: string | undefined;
    readonly keyAgeMs?: number | undefined;
    readonly deadlineMs?: number | undefined;
}

/** Reads the call options from request headers. The reducer validates them against the configuration. */
export function callOptionsOf(headers: IncomingHttpHeaders): CallOptions {
    const key = headers["idempotency-key"];
    const deadlineMs = Number(headers["x-request-deadline-ms"]);
    return {
        kind: baggageMember(headers, "fp.kind"),
        key: typeof key === "string" ? key : undefined,
        keyAgeMs: typeof key === "string" ? uuidAgeMs(key, Date.now()) : undefined,
        deadlineMs: deadlineMs > 0 ? deadlineMs : undefined,
    };
}

/** HTTP status code for a request that was refused or has an unknown outcome. */
export function statusOfOutcome(outcome: NotRun | Unknown): number {
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

/**
 * Streams a response body to the client. If the body is truncated, the connection to the client is destroyed.
 * `stream.pipeline` does the same, but creates an abort signal and an exception for each body, which took a
 * tenth of a node's CPU time.
 */
function relayBody(body: Readable, res: ServerResponse, done: (complete: boolean) => void): void {
    body.once("close", () => {
        if (!body.readableEnded) res.destroy();
    });
    res.once("close", () => {
        if (!res.writableFinished) body.destroy();
        done(res.writableFinished);
    });
    body.pipe(res);
}

export function createCallResponder(req: IncomingMessage, res: ServerResponse): CallResponder {
    return {
        relay: (response, done) => {
            if (res.destroyed) return done(false);
            res.writeHead(response.status, response.headers);
            relayBody(response.body, res, done);
        },
        reportOutcome: (outcome, requestId) => {
            const retryAfterMs = outcome.type === "not-run" ? outcome.retryAfterMs : 0;
            const headers: Record<string, string> = { "content-type": "application/json" };
            if (retryAfterMs > 0) headers["retry-after"] = String(Math.ceil(retryAfterMs / MS_PER_S));
            const body = { outcome: outcome.type, reason: outcome.reason, requestId, retryAfterMs };
            sendLocalResponse(req, res, statusOfOutcome(outcome), headers, JSON.stringify(body));
        },
    };
}

export function createRunResponder(req: IncomingMessage, res: ServerResponse): RunResponder {
    return {
        relay: (response, retriesLeft, load) => {
            if (res.destroyed) return void response.body.destroy();
            const outcomeHeaders = runResponseHeaders(
                { type: "ran", status: response.status },
                retriesLeft,
                load,
            );
            res.writeHead(response.status, { ...response.headers, ...outcomeHeaders });
            relayBody(response.body, res, () => undefined);
        },
        reportOutcome: (outcome, retriesLeft, load) => {
            sendLocalResponse(
                req,
                res,
                statusOfOutcome(outcome),
                runResponseHeaders(outcome, retriesLeft, load),
                "",
            );
        },
    };
}

/**
 * Sends a response that does not come from a target. If another response has already started, the connection
 * is destroyed instead, so that the client cannot take the truncated response for a complete one.
 */
function sendLocalResponse(
    req: IncomingMessage,
    res: ServerResponse,
    status: number,
    headers: Readonly<Record<string, string | string[]>>,
    text: string,
): void {
    if (res.headersSent) return void res.destroy();
    if (res.destroyed) return;
    if (!req.complete) res.shouldKeepAlive = false;
    res.writeHead(status, { ...headers, "content-length": String(Buffer.byteLength(text)) });
    res.end(text);
    req.resume();
}
