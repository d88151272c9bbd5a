/** The I/O side of calls and runs: requests, answers, and the sockets between them. */
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import type { Headers } from "./headers.ts";
import type { LoadReport, NotRun, Unknown } from "./types.ts";

/** A request as it arrived. */
export interface HttpRequest {
    readonly method: string;
    /** Path and query that the target gets. */
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    /** The whole body when it is small enough to be kept, else its beginning. */
    readonly body: Buffer;
    /** All bytes of a body that is too large to be kept; it can be sent only once. */
    readonly stream?: Readable | undefined;
}

/** The head and the body stream of an answer. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: Headers;
    readonly body: Readable;
}

/** The caller of a call: answered at most once. */
export interface CallResponder {
    relay(response: HttpResponse, done: (complete: boolean) => void): void;
    refuse(outcome: NotRun | Unknown, requestId: string): void;
}

/** The requester of a run: another node, or this node's own caller side. */
export interface RunResponder {
    relay(response: HttpResponse, retriesLeft: number, load: LoadReport): void;
    refuse(outcome: NotRun | Unknown, retriesLeft: number, load: LoadReport): void;
}

/**
 * Equal for two requests that ask for the same thing. Of a streamed body the length and the part that was read
 * before it was streamed count.
 */
export function fingerprintOf(service: string, req: HttpRequest): string {
    const hash = createHash("sha256");
    for (const part of [service, req.method, req.path]) hash.update(part).update("\0");
    if (req.stream !== undefined) hash.update(`${req.headers["content-length"] ?? ""}\0`);
    return hash.update(req.body).digest("hex").slice(0, 32);
}
