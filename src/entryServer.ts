/** The `entry` listener: calls from outside, none of whose `fp-` headers count. */
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
    /** Service that the listener stands for. */
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
    /** Path and query that the target gets. */
    readonly path: string;
}

/** Starts a call when its body has arrived, and abandons it when the caller goes before the answer's end. */
export function receiveCall(
    calls: CallExchanges,
    req: IncomingMessage,
    res: ServerResponse,
    received: ReceivedCall,
): void {
    receiveRequest(req, received.path, httpRequest => {
        const replayable = httpRequest.stream === undefined;
        const call = calls.start(
            { ...received.call, ...callOptionsOf(req.headers), replayable },
            httpRequest,
            createCallResponder(req, res),
        );
        res.once("close", () => {
            if (!res.writableFinished) calls.abandon(call);
        });
    });
}
