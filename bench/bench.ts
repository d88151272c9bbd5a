/**
 * Measures the latency that two node hops add to a call, and the memory and CPU time of a node. Direct calls to the
 * target alternate with calls through the nodes, so that both meet the same state of the machine. Prints a table;
 * `--json FILE` also writes the results to a file, `--multiples 1,10` selects the rates.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { Pool } from "undici";
import { LogClient } from "../src/logClient.ts";
import { NO_BASE } from "../src/logRecords.ts";
import { LogService } from "../src/standins/logService.ts";
import { createConfiguration } from "../test/support/deployment.ts";
import { freePort, ProcessGroup, waitForStatus } from "../test/support/processes.ts";

const HOST = "127.0.0.1";
/** Calls per second of one node in a deployment of the intended size (design page, 1.4). */
const BASE_RATE_PER_S = 52;
const RATE_MULTIPLES = [1, 2, 5, 10, 20];
const REPETITIONS = 3;
const MIN_DURATION_MS = 3_000;
/** With fewer calls, the p99 would depend on two or three of them. */
const MIN_CALLS = 400;
const WARM_UP_CALLS = 2_000;
const IDLE_MS = 3_000;
const CONNECTIONS = 64;
/** Unit of the CPU times in /proc on Linux. */
const MS_PER_CLOCK_TICK = 10;
const KIB_PER_MIB = 1024;

interface ProcessUsage {
    readonly rssMib: number;
    readonly cpuMs: number;
}

function readUsage(pid: number): ProcessUsage {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return {
        rssMib: Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1]) / KIB_PER_MIB,
        cpuMs: (Number(fields[11]) + Number(fields[12])) * MS_PER_CLOCK_TICK,
    };
}

function quantile(values: readonly number[], q: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * q))] ?? NaN;
}

function delay(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Connections and request path of one way to call the target. */
interface CallPath {
    readonly pool: Pool;
    readonly path: string;
}

async function call({ pool, path }: CallPath): Promise<number> {
    const start = performance.now();
    const response = await pool.request({ method: "GET", path });
    await response.body.dump();
    if (response.statusCode !== 200) throw new Error(`${path} returned status ${response.statusCode}`);
    return performance.now() - start;
}

interface Bench {
    readonly direct: CallPath;
    /** Through the node of the calling service (`egress`) and the node beside the target (`ingress`). */
    readonly through: CallPath;
    readonly pids: { readonly egress: number; readonly ingress: number; };
}

interface Latencies {
    readonly direct: readonly number[];
    readonly through: readonly number[];
}

/** Sends calls over both paths at fixed times, whether or not earlier calls have ended. */
async function generateLoad(bench: Bench, rate: number, calls: number): Promise<Latencies> {
    const pending: Promise<void>[] = [];
    const latencies = { direct: [] as number[], through: [] as number[] };
    const start = performance.now();
    for (let sent = 0; sent < calls * 2;) {
        const due = Math.min(calls * 2, Math.floor((performance.now() - start) * rate * 2 / 1_000));
        for (; sent < due; sent++) {
            const name = sent % 2 === 0 ? "direct" : "through";
            pending.push(call(bench[name]).then(ms => void latencies[name].push(ms)));
        }
        await delay(1);
    }
    await Promise.all(pending);
    return latencies;
}

interface Row {
    readonly rate: number;
    readonly directP50: number;
    readonly directP99: number;
    readonly addedP50: number;
    readonly addedP99: number;
    readonly egressRssMib: number;
    readonly ingressRssMib: number;
    readonly cpuPerCallMs: number;
}

async function measureRate(bench: Bench, rate: number): Promise<Row> {
    const calls = Math.max(MIN_CALLS, Math.ceil(rate * MIN_DURATION_MS / 1_000));
    const rows: Row[] = [];
    for (let i = 0; i < REPETITIONS; i++) {
        const before = [readUsage(bench.pids.egress), readUsage(bench.pids.ingress)] as const;
        const { direct, through } = await generateLoad(bench, rate, calls);
        const after = [readUsage(bench.pids.egress), readUsage(bench.pids.ingress)] as const;
        const cpuMs = after[0].cpuMs - before[0].cpuMs + after[1].cpuMs - before[1].cpuMs;
        rows.push({
            rate,
            directP50: quantile(direct, 0.5),
            directP99: quantile(direct, 0.99),
            addedP50: quantile(through, 0.5) - quantile(direct, 0.5),
            addedP99: quantile(through, 0.99) - quantile(direct, 0.99),
            egressRssMib: after[0].rssMib,
            ingressRssMib: after[1].rssMib,
            cpuPerCallMs: cpuMs / 2 / calls,
        });
    }
    const names = Object.keys(rows[0]!) as (keyof Row)[];
    return Object.fromEntries(names.map(name => [name, quantile(rows.map(row => row[name]), 0.5)])) as
        & object
        & Row;
}

async function startBench(processes: ProcessGroup, log: LogService, logPort: number): Promise<Bench> {
    const logUrl = `http://${HOST}:${logPort}`;
    await log.start();
    const client = new LogClient(logUrl);
    const configuration = createConfiguration();
    await client.append({ type: "config", id: "c1", base: NO_BASE, author: "bench", configuration });
    await client.close();
    const startedServices = [];
    for (const service of ["booking", "calendar"]) {
        const [entry, peer, egress, target] = await Promise.all(Array.from({ length: 4 }, freePort));
        const [entryAddress, peerAddress, egressAddress, targetAddress] = [entry, peer, egress, target].map(
            port => `${HOST}:${port}`,
        );
        const commonFlags = ["--service", service, "--egress", egressAddress!];
        const nodeArgs = [
            "node",
            ...commonFlags,
            "--data-centre",
            "a",
            "--entry",
            entryAddress!,
            "--peer",
            peerAddress!,
        ];
        const child = processes.start([...nodeArgs, "--log-url", logUrl]);
        await waitForStatus(`http://${peerAddress}/healthz`, 200);
        processes.start(["standin-target", ...commonFlags, "--listen", targetAddress!]);
        await waitForStatus(`http://${targetAddress}/standin/runs`, 200);
        startedServices.push({
            peer: peerAddress!,
            egress: egressAddress!,
            target: targetAddress!,
            pid: child.pid!,
        });
    }
    const [booking, calendar] = startedServices as [
        typeof startedServices[0] & object,
        typeof startedServices[0] & object,
    ];
    for (const { peer } of [booking, calendar]) await waitForStatus(`http://${peer}/readyz`, 200);
    const pool = (address: string) => new Pool(`http://${address}`, { connections: CONNECTIONS });
    return {
        direct: { pool: pool(booking.target), path: "/seats" },
        through: { pool: pool(calendar.egress), path: "/booking/seats" },
        pids: { egress: calendar.pid, ingress: booking.pid },
    };
}

async function main(): Promise<void> {
    const { values } = parseArgs({ options: { json: { type: "string" }, multiples: { type: "string" } } });
    const multiples = values.multiples?.split(",").map(Number) ?? RATE_MULTIPLES;
    const processes = new ProcessGroup();
    const logPort = await freePort();
    const log = new LogService({ address: { host: HOST, port: logPort } });
    try {
        const bench = await startBench(processes, log, logPort);
        const before = readUsage(bench.pids.ingress);
        await delay(IDLE_MS);
        const after = readUsage(bench.pids.ingress);
        const idle = { rssMib: after.rssMib, cpuPercent: (after.cpuMs - before.cpuMs) / IDLE_MS * 100 };
        await generateLoad(bench, WARM_UP_CALLS / 2, WARM_UP_CALLS);
        const rows: Row[] = [];
        for (const multiple of multiples) rows.push(await measureRate(bench, BASE_RATE_PER_S * multiple));
        const rounded = rows.map(row =>
            Object.fromEntries(
                (Object.entries(row) as [string, number][]).map(([name, value]) => [
                    name,
                    Number(value.toFixed(3)),
                ]),
            )
        );
        process.stdout.write(
            `idle node: ${idle.rssMib.toFixed(1)} MiB RSS, ${idle.cpuPercent.toFixed(2)} % CPU\n`,
        );
        console.table(rounded);
        if (values.json !== undefined) {
            writeFileSync(values.json, `${JSON.stringify({ idle, rates: rounded }, undefined, 4)}\n`);
        }
        await Promise.all([bench.direct.pool.destroy(), bench.through.pool.destroy()]);
    }
    finally {
        await processes.stop();
        await log.stop();
    }
}

await main();
