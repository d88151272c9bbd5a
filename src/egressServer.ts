/**
 * The `egress` listener on loopback, for the local target: its announcement and its calls to other services.
 */
import type { FastifyInstance } from "fastify";
import type { CallExchanges } from "./callExchanges.ts";
import { receiveCall } from "./entryServer.ts";
import type { EventBody } from "./events.ts";
import { addRawRoute, createServer, requestIdOf } from "./httpServers.ts";
import { safeParse, safeParseJson } from "./parse.ts";
import { announcementSchema } from "./schemas.ts";
import type { Member } from "./types.ts";

export interface EgressServerOptions {
    readonly self: Member;
    readonly calls: CallExchanges;
    readonly dispatch: (event: EventBody) => void;
}

export function createEgressServer(opts: EgressServerOptions): FastifyInstance {
    const server = createServer();
    const { self } = opts;
    server.post("/announce", async (req, reply) => {
        const json = safeParseJson(String(req.body));
        const parsed = json.success ? safeParse(announcementSchema, json.value) : json;
        if (!parsed.success) return reply.code(400).send({ error: "announce", issues: parsed.issues });
        if (parsed.value.service !== self.service) {
            return reply.code(400).send({ error: `service: this node serves ${self.service}` });
        }
        opts.dispatch({ type: "target_announced", address: parsed.value.address });
        return reply.send({ node: self.id });
    });
    server.post("/drain", async (_req, reply) => {
        opts.dispatch({ type: "drain_requested", source: "target" });
        return reply.send({ draining: true });
    });
    addRawRoute(server, "/:service/*", (req, res, params) => {
        const { service } = params as { service: string; };
        receiveCall(opts.calls, req, res, {
            call: { from: "egress", service, ...requestIdOf(req.headers) },
            path: (req.url ?? "/").slice(service.length + 1),
        });
    });
    return server;
}
