/** A deployment on loopback: nodes of the built binary, with targets and a log service in the test process. */
import type { ChildProcess } from "node:child_process";
import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import { request } from "undici";
import { messageOf } from "../../src/errors.ts";
import { LogClient } from "../../src/logClient.ts";
import { NO_BASE } from "../../src/logRecords.ts";
import { LogService } from "../../src/standins/logService.ts";
import type { Configuration, Kind } from "../../src/types.ts";
import { freePort, logTailOf, ProcessGroup, waitForStatus } from "./processes.ts";

const HOST = "127.0.0.1";

export function createKind(name: string, overrides: Partial<Kind> = {}): Kind {
    return {
        name,
        priority: 0,
        worth: 1,
        nonIdempotent: false,
        retries: 2,
        deadlineMs: 20_000,
        external: true,
        ...overrides,
    };
}

/** Two services, of which calendar calls booking. `browse` is the default kind of both. */
export function createConfiguration(): Configuration {
    const service = { defaultKind: "browse", connections: 64 };
    return {
        kinds: [
            createKind("browse"),
            createKind("book", { nonIdempotent: true }),
            createKind("brief", { deadlineMs: 300 }),
            createKind("brief-book", { deadlineMs: 300, nonIdempotent: true }),
        ],
        services: [
            { name: "calendar", calls: ["booking"], ...service },
            { name: "booking", calls: [], ...service },
        ],
        resendHorizonMs: 600_000,
        replacedServices: [],
    };
}

export interface TestNode {
    readonly process: ChildProcess;
    /** URLs of the listeners, without a trailing slash. */
    readonly entry: string;
    readonly peer: string;
    readonly egress: string;
    /** Runs in the test process. */
    readonly target: Server;
}

export class Deployment {
    private readonly processes = new ProcessGroup();
    private readonly targets: Server[] = [];
    private log: LogService | undefined;
    logUrl = "";

    async start(configuration = createConfiguration()): Promise<void> {
        const port = await freePort();
        this.log = new LogService({ address: { host: HOST, port } });
        await this.log.start();
        this.logUrl = `http://${HOST}:${port}`;
        const client = new LogClient(this.logUrl);
        await client.append({ type: "config", id: "c1", base: NO_BASE, author: "test", configuration });
        await client.close();
    }

    /** Starts a node and its target, and announces the target to the node. */
    async addNode(
        service: string,
        handler: RequestListener,
        flags: readonly string[] = [],
    ): Promise<TestNode> {
        const [entry, peer, egress] = [await freePort(), await freePort(), await freePort()];
        const args = ["--service", service, "--data-centre", "a", "--log-url", this.logUrl, ...flags];
        for (const [name, port] of Object.entries({ entry, peer, egress })) {
            args.push(`--${name}`, `${HOST}:${port}`);
        }
        const child = this.processes.start(["node", ...args]);
        const target = createServer(handler);
        this.targets.push(target);
        const targetPort = await freePort();
        await new Promise<void>(resolve => target.listen(targetPort, HOST, resolve));
        const url = (port: number) => `http://${HOST}:${port}`;
        await waitForStatus(`${url(peer)}/healthz`, 200);
        const body = JSON.stringify({ service, address: { host: HOST, port: targetPort } });
        const response = await request(`${url(egress)}/announce`, { method: "POST", body });
        if (response.statusCode !== 200) throw new Error(await response.body.text());
        await response.body.dump();
        return { process: child, entry: url(entry), peer: url(peer), egress: url(egress), target };
    }

    async stop(): Promise<void> {
        await this.processes.stop();
        for (const target of this.targets) {
            target.closeAllConnections();
            target.close();
        }
        await this.log?.stop();
    }
}

export async function waitUntilReady(...nodes: readonly TestNode[]): Promise<void> {
    await Promise.all(nodes.map(async node => {
        await waitForStatus(`${node.peer}/readyz`, 200).catch((err: unknown) => {
            throw new Error(`${messageOf(err)}; its log: ${logTailOf(node.process)}`);
        });
    }));
}
