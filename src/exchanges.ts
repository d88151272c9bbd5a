/** HTTP requests and responses of calls and runs, and the fingerprint of a request. */
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import type { Headers } from "./headers.ts";
import type { LoadReport, NotRun, Unknown } from "./types.ts";

/** A request as it was received. */
export interface HttpRequest {
    readonly method: string;
    /** Path and query of the request to the target. */
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    /** The whole body, or only its first part when `stream` is set. */
    readonly body: Buffer;
    /** The whole body when it is too large to be buffered. A stream can be sent only once. */
    readonly stream?: Readable | undefined;
}

/** Head and body stream of a response. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: Headers;
    readonly body: Readable;
}

/** Sends the response of a call to its caller, at most once. */
export interface CallResponder {
    /** Relays a target's response. `done` receives whether the whole response was sent. */
    relay(response: HttpResponse, done: (complete: boolean) => void): void;
    /** Sends the outcome of a call for which no target's response is relayed. */
    reportOutcome(outcome: NotRun | Unknown, requestId: string): void;
}

/** Sends the response of a run to the node that requested it: another node, or this node itself. */
export interface RunResponder {
    relay(response: HttpResponse, retriesLeft: number, load: LoadReport): void;
    /** Sends the outcome of a run for which no response of the target is relayed. */
    reportOutcome(outcome: NotRun | Unknown, retriesLeft: number, load: LoadReport): void;
}

/**
 * Hash that tells whether two requests with the same idempotency key are the same request. It covers the whole
 * body, or the content length and the first part of a streamed body.
 */
export function fingerprintOf(service: string, req: HttpRequest): string {
    const hash = createHash("sha256");
    for (const part of [service, req.method, req.path]) hash.update(part).update("\0");
    if (req.stream !== undefined) hash.update(`${req.headers["content-length"] ?? ""}\0`);
    return hash.update(req.body).digest("hex").slice(0, 32);
}
