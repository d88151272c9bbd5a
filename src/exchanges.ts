/** The I/O side of calls and runs: requests, answers, and the sockets between them. */
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import type { Headers } from "./headers.ts";
import type { LoadReport, NotRun, Unknown } from "./types.ts";

/** A request as it arrived, with its body when that was small enough to be kept. */
export interface HttpRequest {
    readonly method: string;
    /** Path and query that the target gets. */
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** The head and the body stream of an answer. */
export interface HttpAnswer {
    readonly status: number;
    readonly headers: Headers;
    readonly body: Readable;
}

/** The caller of a call: answered at most once. */
export interface CallReply {
    relay(answer: HttpAnswer, done: (complete: boolean) => void): void;
    refuse(outcome: NotRun | Unknown, requestId: string): void;
}

/** The requester of a run: another node, or this node's own caller side. */
export interface RunReply {
    relay(answer: HttpAnswer, retriesLeft: number, load: LoadReport): void;
    refuse(outcome: NotRun | Unknown, retriesLeft: number, load: LoadReport): void;
}

/** Equal for two requests that ask for the same thing. */
export function fingerprintOf(service: string, req: HttpRequest): string {
    const hash = createHash("sha256");
    for (const part of [service, req.method, req.path]) hash.update(part).update("\0");
    return hash.update(req.body).digest("hex").slice(0, 32);
}
