/**
 * A stand-in for a target: a service instance with a number of slots and a service time. It announces itself to the
 * node beside it and calls downstream services through that node.
 */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { fastify } from "fastify";
import { Pool } from "undici";
import type { Address } from "../types.ts";
import { formatAddress } from "../types.ts";

const ANNOUNCE_INTERVAL_MS = 2_000;
const MAX_EGRESS_CONNECTIONS = 256;

export interface TargetOptions {
    readonly service: string;
    readonly address: Address;
    /** Egress listener of the node beside this target. */
    readonly egress: Address;
    /** Maximum number of requests that run at the same time; further ones wait. Without it, there is no limit. */
    readonly slots?: number;
    /** Time that each request takes before the downstream calls; 0 if undefined. */
    readonly serviceMs?: number;
    /** Downstream services, which are called one after the other for each request. */
    readonly calls?: readonly string[];
}

export interface TargetRun {
    readonly requestId: string;
    readonly key: string | undefined;
}

export class Target {
    /** Every request that was run, in the order of their starts. */
    readonly runs: TargetRun[] = [];
    private readonly app: FastifyInstance;
    private readonly egress: Pool;
    private readonly opts: TargetOptions;
    private announceTimer: NodeJS.Timeout | undefined;
    private usedSlots = 0;
    private readonly slotWaiters: (() => void)[] = [];

    constructor(opts: TargetOptions) {
        this.opts = opts;
        this.egress = new Pool(`http://${formatAddress(opts.egress)}`, {
            connections: MAX_EGRESS_CONNECTIONS,
        });
        this.app = fastify({ forceCloseConnections: true });
        this.app.removeAllContentTypeParsers();
        this.app.addContentTypeParser("*", { parseAs: "buffer" }, (_req, body, done) => done(null, body));
        this.app.get("/standin/runs", async () => this.runs);
        this.app.all("/*", (req, reply) => this.handleRequest(req, reply));
    }

    async start(): Promise<void> {
        await this.app.listen(this.opts.address);
        await this.announce();
        this.announceTimer = setInterval(() => void this.announce(), ANNOUNCE_INTERVAL_MS);
    }

    async stop(): Promise<void> {
        clearInterval(this.announceTimer);
        await this.app.close();
        await this.egress.destroy();
    }

    private async announce(): Promise<void> {
        const { service, address } = this.opts;
        await this.egress.request({
            method: "POST",
            path: "/announce",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ service, address }),
        }).then(res => res.body.dump()).catch(() => undefined);
    }

    private async handleRequest(req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
        // A time of the monotonic clock of this host, which the node beside this target uses too.
        const startBefore = Number(req.headers["fp-start-before"] ?? Infinity);
        await this.acquireSlot();
        try {
            if (Number(process.hrtime.bigint()) / 1e6 >= startBefore) {
                return reply.code(503).send({ error: "too late to start" });
            }
            this.runs.push({
                requestId: String(req.headers["traceparent"] ?? "").slice(3, 35),
                key: req.headers["idempotency-key"] as string | undefined,
            });
            await delay(this.opts.serviceMs ?? 0);
            const responses: unknown[] = [];
            for (const service of this.opts.calls ?? []) {
                const response = await this.callService(service, req);
                if (response.status !== 200) {
                    return await reply.code(response.status).send({ service, answer: response.body });
                }
                responses.push(response.body);
            }
            return await reply.send({ service: this.opts.service, path: req.url, deeper: responses });
        }
        finally {
            this.releaseSlot();
        }
    }

    private async callService(
        service: string,
        req: FastifyRequest,
    ): Promise<{ readonly status: number; readonly body: unknown; }> {
        const headers: Record<string, string> = {};
        for (const name of ["traceparent", "baggage"]) {
            const value = req.headers[name];
            if (typeof value === "string") headers[name] = value;
        }
        const response = await this.egress.request({
            method: "POST",
            path: `/${service}${req.url}`,
            headers,
        });
        return { status: response.statusCode, body: await response.body.json().catch(() => undefined) };
    }

    private async acquireSlot(): Promise<void> {
        if (this.usedSlots < (this.opts.slots ?? Infinity)) {
            this.usedSlots++;
            return;
        }
        await new Promise<void>(resolve => this.slotWaiters.push(resolve));
    }

    private releaseSlot(): void {
        const next = this.slotWaiters.shift();
        if (next === undefined) this.usedSlots--;
        else next();
    }
}

function delay(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
