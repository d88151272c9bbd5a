/**
 * Measures the CPU time that a request costs the node where it enters and the node beside its target. Runs the built
 * platform program with the flags of deploy/system.toml: without requests, then at a low rate without a warm-up, then on
 * new processes at a high rate after a warm-up. Prints the microseconds per request of both nodes, divided into user and
 * system time, and their writes, reads and voluntary context switches per request. `--prof DIR` also writes V8 CPU
 * profiles to a directory; without it, the variable `NODE_FLAGS` can pass further flags to Node.js. The variable
 * `PROGRAM` names another build, to compare two of them in turn, and `CASES` only some of the cases (`cold`, `warm`).
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { freeListenerPort } from "../test/support/freePorts.ts";
import { VIRTUAL_HOST, wireConfig } from "../test/support/platformMesh.ts";
import { StandinStore } from "../test/support/standinStore.ts";
import { cpuMs, rssMib } from "./processStats.ts";

interface Case {
    readonly name: string;
    readonly ratePerS: number;
    readonly warmUpS: number;
    /** Time without requests before the warm-up, whose cost is reported per second. */
    readonly idleS: number;
}

const CASES: readonly Case[] = [
    { name: "cold", ratePerS: 100, warmUpS: 0, idleS: 4 },
    { name: "warm", ratePerS: 800, warmUpS: 4, idleS: 0 },
];
const MEASURE_S = 10;
/** Time until a node listens, on a busy machine. */
const START_MS = 3000;
const CLIENT_COUNT = 60;
const BODY_BYTES = 600;
const SERVICE_MS = 20;
const DEPLOYED_FLAGS = /^run = "node (.*) target/m.exec(readFileSync("deploy/system.toml", "utf8"))![1]!
    .split(" ");
const PROGRAM = process.env["PROGRAM"] ?? "target/filbertspool.cjs";

const profileDir = process.argv[2] === "--prof" ? process.argv[3] : undefined;
const settingsDir = mkdtempSync(join(tmpdir(), "filbertspool-"));

interface Host {
    readonly name: string;
    readonly service: string;
    readonly ports: Readonly<Record<"app" | "outbound" | "ready" | "control" | "peer", number>>;
}

async function createHost(name: string, service: string): Promise<Host> {
    const ports = {
        app: await freeListenerPort(),
        outbound: await freeListenerPort(),
        ready: await freeListenerPort(),
        control: await freeListenerPort(),
        peer: await freeListenerPort(),
    };
    return { name, service, ports };
}

function startNode(host: Host, storePort: number): ChildProcess {
    const { ports } = host;
    const path = join(settingsDir, `${host.name}.toml`);
    writeFileSync(
        path,
        `node = "${host.name}"
zone = "a"
ip = "127.0.0.1"
service = "${host.service}"
app_addr = "127.0.0.1:${ports.app}"
internal_port_range = [${ports.peer}, ${ports.peer}]
bounds = ["grace=1s", "retry_budget_ratio=0.2", "budget_slack=48", "budget_window=10s"]
[listen]
outbound = "127.0.0.1:${ports.outbound}"
ready = "127.0.0.1:${ports.ready}"
control = "127.0.0.1:${ports.control}"
[platform]
address = "127.0.0.1:${storePort}"
`,
    );
    const flags = profileDir === undefined
        ? (process.env["NODE_FLAGS"] ?? "").split(" ").filter(flag => flag !== "")
        : ["--cpu-prof", `--cpu-prof-dir=${profileDir}`];
    return spawn(process.execPath, [...DEPLOYED_FLAGS, ...flags, PROGRAM], {
        env: { PATH: process.env["PATH"], FILBERTSPOOL_BOOT: path },
        stdio: ["ignore", "ignore", "inherit"],
    });
}

/** Starts a target that responds after a fixed time with as little work as possible. */
function startTarget(port: number): net.Server {
    const body = "b".repeat(BODY_BYTES);
    const server = net.createServer(socket => {
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("data", chunk => {
            const id = /X-Request-Id: (\S+)/i.exec(chunk.toString("latin1"))?.[1] ?? "";
            setTimeout(() => {
                socket.write(
                    `HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Request-Id: ${id}\r\nKeep-Alive: timeout=10\r\n`
                        + `Content-Type: application/octet-stream\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${body}`,
                );
            }, SERVICE_MS);
        });
    });
    server.listen(port, "127.0.0.1");
    return server;
}

async function registerInstance(host: Host): Promise<void> {
    await fetch(`http://127.0.0.1:${host.ports.control}/instances/i-${host.name}`, {
        method: "PUT",
        body: JSON.stringify({
            service: host.service,
            address: `127.0.0.1:${host.ports.app}`,
            state: "ready",
            zone: "a",
            version: "v1",
            cold_remaining: "0ms",
            slots: 150,
            sequence: Date.now(),
            born: 1,
        }),
    });
}

let succeeded = 0;
let refused = 0;
let sent = 0;

class Client {
    private readonly socket: net.Socket;
    isIdle = true;

    constructor(port: number) {
        this.socket = net.connect(port, "127.0.0.1");
        this.socket.setNoDelay(true);
        this.socket.on("data", chunk => {
            const text = chunk.toString("latin1", 0, 12);
            if (text.startsWith("HTTP/1.1 200")) succeeded++;
            else if (text.startsWith("HTTP/1.1")) refused++;
            this.isIdle = true;
        });
    }

    send(): void {
        this.isIdle = false;
        sent++;
        this.socket.write(
            `GET /safe/x HTTP/1.1\r\nHost: ${VIRTUAL_HOST}\r\nX-Request-Id: ${
                sent.toString(16).padStart(16, "0")
            }\r\n`
                + "X-Request-Deadline-Ms: 5000\r\n\r\n",
        );
    }
}

/** Totals of a process since its start, or per request. */
interface Usage {
    readonly cpuUs: number;
    /** User time and CPU time in clock ticks, for their ratio. */
    readonly userTicks: number;
    readonly ticks: number;
    readonly writes: number;
    readonly reads: number;
    readonly switches: number;
}

function readUsage({ pid }: ChildProcess): Usage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!.split(" ");
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const numberAfter = (text: string, name: string) => Number(text.split(`${name}:`)[1]!.split("\n")[0]);
    return {
        cpuUs: cpuMs(pid!) * 1000,
        userTicks: Number(stat[11]),
        ticks: Number(stat[11]) + Number(stat[12]),
        writes: numberAfter(io, "syscw"),
        reads: numberAfter(io, "syscr"),
        switches: numberAfter(status, "voluntary_ctxt_switches"),
    };
}

function describeUsage(before: Usage, after: Usage, count: number): string {
    const per = (name: keyof Usage) => (after[name] - before[name]) / count;
    const user = per("cpuUs") * per("userTicks") / Math.max(per("ticks"), Number.MIN_VALUE);
    return `${per("cpuUs").toFixed(0)} us (user ${user.toFixed(0)}, system ${
        (per("cpuUs") - user).toFixed(0)
    }), ${per("writes").toFixed(2)} writes, ${per("reads").toFixed(2)} reads, ${
        per("switches").toFixed(2)
    } voluntary switches`;
}

const delay = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function generateLoad(clients: readonly Client[], ratePerS: number, seconds: number): Promise<void> {
    const startedAt = performance.now();
    let started = 0;
    while (performance.now() - startedAt < seconds * 1000) {
        const due = (performance.now() - startedAt) * ratePerS / 1000;
        for (const client of clients) {
            if (started >= due) break;
            if (!client.isIdle) continue;
            client.send();
            started++;
        }
        await delay(1);
    }
}

async function measure({ name, ratePerS, warmUpS, idleS }: Case): Promise<void> {
    const store = new StandinStore();
    const storePort = await store.start();
    store.putConfig(wireConfig(1));
    const hosts = [await createHost("entry", "stock"), await createHost("shop", "shop")];
    const children = hosts.map(host => startNode(host, storePort));
    // Also after an error, which would leave the nodes behind.
    process.on("exit", () => children.forEach(child => child.kill()));
    const targets = hosts.map(host => startTarget(host.ports.app));
    await delay(START_MS);
    for (const host of hosts) await registerInstance(host);
    await delay(500);
    const clients = Array.from({ length: CLIENT_COUNT }, () => new Client(hosts[0]!.ports.outbound));
    const report = (before: readonly Usage[], count: number, unit: string) =>
        children.forEach((child, index) => {
            const usage = describeUsage(before[index]!, readUsage(child), count);
            console.log(`${name} ${hosts[index]!.name}: ${usage} per ${unit}`);
        });
    if (idleS > 0) {
        const before = children.map(readUsage);
        await delay(idleS * 1000);
        report(before, idleS, "second without requests");
    }
    await generateLoad(clients, ratePerS, warmUpS);
    const before = children.map(readUsage);
    const [succeededBefore, refusedBefore] = [succeeded, refused];
    await generateLoad(clients, ratePerS, MEASURE_S);
    const requests = succeeded - succeededBefore;
    report(before, requests, "request");
    console.log(
        `${name}: ${requests} succeeded at ${ratePerS}/s after a warm-up of ${warmUpS} s, ${
            refused - refusedBefore
        } refused`,
    );
    console.log(`${name}: ${children.map(({ pid }) => rssMib(pid!).toFixed(0)).join(" and ")} MiB resident`);
    for (const child of children) child.kill("SIGTERM");
    await Promise.all(children.map(child => new Promise(resolve => child.once("exit", resolve))));
    for (const target of targets) target.close();
    store.stop();
}

const selected = process.env["CASES"]?.split(",") ?? CASES.map(({ name }) => name);
for (const testCase of CASES) if (selected.includes(testCase.name)) await measure(testCase);
process.exit(0);
