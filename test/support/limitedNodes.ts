/**
 * Two nodes of the built platform program as processes with the limits of a small host: an entry node, and a node beside
 * a target in the test process. The tests watch their memory and file descriptors.
 */
import { execFileSync, spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import { tmpdir } from "node:os";
import path from "node:path";
import { freeListenerPort } from "./freePorts.ts";
import { VIRTUAL_HOST, waitFor, wireConfig, wireRoute } from "./platformMesh.ts";
import { StandinStore } from "./standinStore.ts";
import { sendRequest } from "./standinTarget.ts";
import type { ReceivedResponse } from "./standinTarget.ts";

const ROOT = new URL("../..", import.meta.url).pathname;
const HEARTBEAT_MS = 1000;

export interface LimitedNodesOptions {
    readonly memoryMb: number;
    readonly maxFds: number;
    readonly maxBodyBytes: number;
}

export interface NodeProcess {
    readonly name: string;
    readonly port: number;
    readonly child: ChildProcess;
}

/** Builds the program that the tests start. */
export function buildPlatform(): void {
    execFileSync("node", ["scripts/buildPlatform.mjs"], { cwd: ROOT, stdio: "inherit" });
}

export class LimitedNodes {
    private readonly store = new StandinStore();
    private readonly folder = mkdtempSync(path.join(tmpdir(), "limited-nodes-"));
    private readonly nodes: NodeProcess[] = [];
    private readonly timers: NodeJS.Timeout[] = [];
    private readonly targets: http.Server[] = [];

    constructor(private readonly options: LimitedNodesOptions) {}

    get entry(): NodeProcess {
        return this.nodes[0]!;
    }

    get all(): readonly NodeProcess[] {
        return this.nodes;
    }

    /** Starts both nodes, and resolves once the entry node reaches the target beside the other one. */
    async start(): Promise<void> {
        const storePort = await this.store.start();
        const route = (fields: Readonly<Record<string, unknown>>) =>
            wireRoute({ service: "shop", timeout: "20000ms", target_latency: "10000ms", ...fields });
        const config = wireConfig(1, [
            route({ name: "r-upload", path_prefix: "/upload/", kind: "unsafe" }),
            route({ name: "r-read", path_prefix: "/read/", kind: "safe" }),
        ]);
        this.store.putConfig({
            ...config,
            limits: {
                max_header_bytes: 16_384,
                max_body_bytes: this.options.maxBodyBytes,
                header_timeout: "10s",
                idle_timeout: "30s",
            },
        });
        await this.startNode("entry", "stock", storePort);
        await this.startNode("beside", "shop", storePort);
        let isServed = false;
        const poll = setInterval(
            () =>
                void this.send("GET", "/read/probe").then(
                    ({ status }) => isServed ||= status === 200,
                    () => undefined,
                ),
            100,
        );
        await waitFor("the entry node reaches the target", () => isServed).finally(() => clearInterval(poll));
    }

    /** Sends an ordinary request to the entry node on a connection of its own. */
    send(method: string, requestPath: string, body?: string): Promise<ReceivedResponse> {
        const id = `q${Math.random().toString(36).slice(2)}`;
        return sendRequest({
            port: this.entry.port,
            host: VIRTUAL_HOST,
            path: requestPath,
            id,
            method,
            body,
            deadlineMs: 10_000,
        });
    }

    async stop(): Promise<void> {
        for (const timer of this.timers) clearInterval(timer);
        await Promise.all(this.nodes.map(({ child }) =>
            new Promise<void>(resolve => {
                if (child.exitCode !== null || child.signalCode !== null) return resolve();
                child.once("close", () => resolve());
                child.kill("SIGKILL");
            })
        ));
        for (const target of this.targets) {
            target.close();
            target.closeAllConnections();
        }
        this.store.stop();
        rmSync(this.folder, { recursive: true, force: true });
    }

    private async startNode(name: string, service: string, storePort: number): Promise<void> {
        const [outbound, ready, control, app, peer, metrics] = await Promise.all(
            Array.from({ length: 6 }, () => freeListenerPort()),
        );
        const settingsPath = path.join(this.folder, `${name}.toml`);
        writeFileSync(
            settingsPath,
            `node = "${name}"
zone = "a"
service = "${service}"
ip = "127.0.0.1"
app_addr = "127.0.0.1:${app}"
internal_port_range = [${peer}, ${metrics}]
[listen]
outbound = "127.0.0.1:${outbound}"
ready = "127.0.0.1:${ready}"
control = "127.0.0.1:${control}"
[limits]
memory_mb = ${this.options.memoryMb}
max_fds = ${this.options.maxFds}
[platform]
address = "127.0.0.1:${storePort}"
`,
        );
        const [command, ...args] = runCommand();
        const child = spawn(command!, args, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, FILBERTSPOOL_BOOT: settingsPath },
            stdio: ["ignore", "ignore", "inherit"],
        });
        this.nodes.push({ name, port: outbound!, child });
        await this.startTarget(`i-${name}`, service, app!, control!);
    }

    /** The target reads bodies without keeping them, and responds to `/read/N` with N bytes. */
    private async startTarget(id: string, service: string, port: number, controlPort: number): Promise<void> {
        const server = http.createServer((req, res) => {
            if (req.url === "/health") return void res.writeHead(200, { "X-Instance-Id": id }).end();
            const bytes = Number(req.url!.split("/").at(-1)) || 2;
            req.resume().on("end", () => {
                res.writeHead(200, {
                    "X-Request-Id": String(req.headers["x-request-id"]),
                    "X-Response-Seal": "s",
                    "Content-Length": bytes,
                }).end(Buffer.alloc(bytes, "x"));
            });
        });
        await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
        this.targets.push(server);
        const born = Date.now();
        let sequence = 0;
        const heartbeat = () =>
            void fetch(`http://127.0.0.1:${controlPort}/instances/${id}`, {
                method: "PUT",
                body: JSON.stringify({
                    service,
                    address: `127.0.0.1:${port}`,
                    zone: "a",
                    version: "v1",
                    slots: 20,
                    state: "ready",
                    cold_remaining: "0ms",
                    sequence: ++sequence,
                    born,
                }),
            }).then(res => res.text(), () => undefined);
        heartbeat();
        this.timers.push(setInterval(heartbeat, HEARTBEAT_MS));
    }
}

/** The command of the deploy file. */
function runCommand(): readonly string[] {
    const line = /^run = "(.*)"$/m.exec(readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8"));
    return line![1]!.split(" ");
}

export interface ResourceUse {
    readonly peakMb: number;
    readonly fds: number;
}

/** Peak resident memory and open descriptors of a process; `undefined` if it has ended. */
export function resourceUseOf({ child }: NodeProcess): ResourceUse | undefined {
    if (child.exitCode !== null || child.signalCode !== null) return undefined;
    const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
    return {
        peakMb: Math.round(Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / 1024),
        fds: readdirSync(`/proc/${child.pid}/fd`).length,
    };
}
