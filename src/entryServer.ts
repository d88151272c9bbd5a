/** The `entry` listener, for calls from outside the system. Their `fp-` headers are ignored. */
import type { FastifyInstance } from "fastify";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallExchanges, NewCall } from "./callExchanges.ts";
import {
    addRawRoute,
    callOptionsOf,
    createCallResponder,
    createServer,
    receiveRequest,
    requestIdOf,
} from "./httpServers.ts";

export interface EntryServerOptions {
    /** The service that all requests to this listener call. */
    readonly service: string;
    readonly calls: CallExchanges;
}

export function createEntryServer(opts: EntryServerOptions): FastifyInstance {
    const server = createServer();
    addRawRoute(server, "/*", (req, res) => {
        const { requestId } = requestIdOf(req.headers);
        const call = { from: "entry", service: opts.service, requestId, tracked: true } as const;
        receiveCall(opts.calls, req, res, { call, path: req.url ?? "/" });
    });
    return server;
}

export interface ReceivedCall {
    readonly call: Pick<NewCall, "from" | "service" | "requestId" | "tracked">;
    /** Path and query of the request to the target. */
    readonly path: string;
}

/**
 * Receives a request and starts its call. If the caller disconnects before the response ends, the call is
 * cancelled.
 */
export function receiveCall(
    calls: CallExchanges,
    req: IncomingMessage,
    res: ServerResponse,
    received: ReceivedCall,
): void {
    receiveRequest(req, received.path, httpRequest => {
        const hasBufferedBody = httpRequest.stream === undefined;
        const call = calls.start(
            { ...received.call, ...callOptionsOf(req.headers), hasBufferedBody },
            httpRequest,
            createCallResponder(req, res),
        );
        res.once("close", () => {
            if (!res.writableFinished) calls.abandon(call);
        });
    });
}
