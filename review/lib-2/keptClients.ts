/**
 * Ordinary clients that send one request after the other on connections that they keep open, and a count of the requests
 * that an instance has run although their connection ended without an answer.
 */
import http from "node:http";
import { HOST, newId, sleep } from "./deployment.ts";
import type { Deployment, Machine } from "./deployment.ts";
import type { RunRecord } from "./record.ts";

export interface KeptClientsOptions {
    readonly machine: Machine;
    readonly record: RunRecord;
    readonly clients: number;
    readonly pauseMs: number;
    /** Method and path prefix of the requests. */
    readonly method: string;
    readonly prefix: string;
    readonly deadlineMs: number;
}

export class KeptClients {
    sent = 0;
    served = 0;
    /** Other complete answers. */
    otherwise = 0;
    /** Ids of requests whose connection was closed by the node without a complete answer. */
    readonly cutIds: string[] = [];
    private isStopped = false;
    private readonly loops: Promise<void>[];

    constructor(private readonly options: KeptClientsOptions) {
        this.loops = Array.from({ length: options.clients }, () => this.run());
    }

    async stop(): Promise<void> {
        this.isStopped = true;
        await Promise.all(this.loops);
    }

    private async run(): Promise<void> {
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        while (!this.isStopped) {
            await this.sendOne(agent);
            await sleep(this.options.pauseMs * (0.5 + Math.random()));
        }
        agent.destroy();
    }

    private sendOne(agent: http.Agent): Promise<void> {
        const { machine, record, method, prefix, deadlineMs } = this.options;
        const id = newId("k");
        this.sent++;
        record.line(`client at ${machine.spec.name} sends ${id}, ${method} ${prefix}, on a kept connection`);
        return new Promise(resolve => {
            let hasConnection = false;
            let hasGivenUp = false;
            const timer = setTimeout(() => {
                hasGivenUp = true;
                req.destroy();
            }, deadlineMs);
            const onCut = (err: Error) => {
                clearTimeout(timer);
                record.line(`${id}: ${hasGivenUp ? "client gave up" : err.message}`);
                if (hasConnection && !hasGivenUp) this.cutIds.push(id);
                resolve();
            };
            const req = http.request({
                host: machine.ip,
                port: machine.ports.outbound,
                path: `${prefix}${id}`,
                method,
                agent,
                headers: { "Host": HOST, "X-Request-Id": id, "X-Request-Deadline-Ms": `${deadlineMs}` },
            }, res => {
                res.resume();
                res.on("end", () => {
                    clearTimeout(timer);
                    if (res.statusCode === 200) this.served++;
                    else this.otherwise++;
                    record.line(`${id}: ${res.statusCode}`);
                    resolve();
                });
                res.on("error", onCut);
            });
            req.on("socket", socket => {
                if (!socket.connecting) hasConnection = true;
                else socket.once("connect", () => hasConnection = true);
            });
            req.on("error", onCut);
            req.end();
        });
    }
}

/** Of these requests, those that an instance has run. */
export function ranOf(ids: readonly string[], deployment: Deployment): readonly string[] {
    const ran = new Set(deployment.machines.flatMap(({ instance }) => instance.ran.map(({ id }) => id)));
    return ids.filter(id => ran.has(id));
}
