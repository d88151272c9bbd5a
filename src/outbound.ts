/**
 * Sends one HTTP request to another node or to the local target through an undici pool. Unlike undici's own
 * `request`, it reports whether any byte may have been written, and checks a condition in the same step that writes.
 */
import { Readable } from "node:stream";
import type { Dispatcher, Pool } from "undici";
import type { HttpRequest } from "./exchanges.ts";
import type { Headers } from "./headers.ts";

const RESPONSE_BUFFER_BYTES = 64 * 1024;
/** A higher status is no HTTP response (RFC 9110, section 15), so the caller must not get it as one. */
const MAX_STATUS = 599;

export interface OutboundRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Headers;
    readonly body: HttpRequest["body"] | Readable;
    /** Called in the same step that writes the request. Nothing is written when it returns false. */
    readonly mayStart?: (() => boolean) | undefined;
}

export interface OutboundResponse {
    readonly status: number;
    readonly headers: Headers;
    /** Fails with an error when the response is truncated. */
    readonly body: Readable;
}

/** The request failed before the head of a response arrived. */
export class OutboundError extends Error {
    /** Whether a part of the request may have been sent. */
    readonly isWritten: boolean;

    constructor(written: boolean, cause: unknown) {
        super(cause instanceof Error ? cause.message : "request failed", { cause });
        this.name = "OutboundError";
        this.isWritten = written;
    }
}

export interface Outbound {
    readonly response: Promise<OutboundResponse>;
    /** Aborts the request. If a response has started, its body fails; otherwise `response` is rejected. */
    cancel(): void;
}

/** The body of a response. A full buffer pauses the socket. */
class ResponseBody extends Readable {
    private readonly controller: Dispatcher.DispatchController;
    private hasEnded = false;

    constructor(controller: Dispatcher.DispatchController) {
        super({ highWaterMark: RESPONSE_BUFFER_BYTES });
        this.controller = controller;
        // A discarded response has no other error listener, and an unhandled error would end the process.
        this.on("error", () => undefined);
    }

    addChunk(chunk: Buffer): void {
        if (!this.push(chunk)) this.controller.pause();
    }

    end(): void {
        this.hasEnded = true;
        this.push(null);
    }

    fail(err: Error): void {
        this.hasEnded = true;
        this.destroy(err);
    }

    override _read(): void {
        this.controller.resume();
    }

    override _destroy(err: Error | null, done: (err?: Error | null) => void): void {
        const cause = err ?? (this.hasEnded ? null : new Error("response discarded"));
        if (!this.hasEnded) this.controller.abort(cause ?? new Error("response discarded"));
        done(cause);
    }
}

class OutboundHandler implements Dispatcher.DispatchHandler {
    private readonly req: OutboundRequest;
    private readonly resolve: (response: OutboundResponse) => void;
    private readonly reject: (err: OutboundError) => void;
    private controller: Dispatcher.DispatchController | undefined;
    private body: ResponseBody | undefined;
    private isCancelled = false;
    private isWritten = false;

    constructor(
        req: OutboundRequest,
        resolve: (response: OutboundResponse) => void,
        reject: (err: OutboundError) => void,
    ) {
        this.req = req;
        this.resolve = resolve;
        this.reject = reject;
    }

    cancel(): void {
        this.isCancelled = true;
        const err = new Error("cancelled");
        if (this.body !== undefined) this.body.destroy(err);
        else if (this.isWritten) this.controller?.abort(err);
        else this.reject(new OutboundError(false, err));
    }

    /** undici calls this right before it writes the request. If this throws, undici writes nothing. */
    onRequestStart(controller: Dispatcher.DispatchController): void {
        // undici may restart a request after a lost connection, but only the reducer decides on retries.
        if (this.isWritten) throw new Error("connection lost");
        if (this.isCancelled || this.req.mayStart?.() === false) throw new Error("not started");
        this.controller = controller;
        this.isWritten = true;
    }

    onResponseStart(
        controller: Dispatcher.DispatchController,
        status: number,
        headers: Record<string, string | string[] | undefined>,
    ): void {
        // undici itself rejects a status below 100.
        if (status > MAX_STATUS) return controller.abort(new Error(`invalid status ${status}`));
        if (status < 200) return;
        this.body = new ResponseBody(controller);
        this.resolve({ status, headers: headers as Headers, body: this.body });
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.body?.addChunk(chunk);
    }

    onResponseEnd(): void {
        this.body?.end();
    }

    onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
        if (this.body === undefined) this.reject(new OutboundError(this.isWritten, err));
        else this.body.fail(err);
    }
}

export function sendOutbound(pool: Pool, req: OutboundRequest): Outbound {
    let handler: OutboundHandler | undefined;
    const response = new Promise<OutboundResponse>((resolve, reject) => {
        handler = new OutboundHandler(req, resolve, reject);
        const { method, path, headers } = req;
        const body = Buffer.isBuffer(req.body) && req.body.length === 0 ? null : req.body;
        pool.dispatch({ method, path, headers, body }, handler);
    });
    return { response, cancel: () => handler?.cancel() };
}
