/**
 * Latency that two node hops add to a call, and memory and CPU time of a node. Direct calls to the target and
 * calls through the nodes alternate in one run, so that both see the same machine. Prints a table; `--json FILE`
 * writes the figures too, `--multiples 1,10` selects rates.
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
/** Calls a second of one node at the target size (design page, 1.4). */
const BASE_RATE = 52;
const MULTIPLES = [1, 2, 5, 10, 20];
const RUNS = 3;
const MIN_RUN_MS = 3_000;
/** Fewer samples leave a p99 to two or three calls. */
const MIN_SAMPLES = 400;
const WARM_UP_CALLS = 2_000;
const IDLE_MS = 3_000;
const CONNECTIONS = 64;
/** The unit of CPU times in /proc on Linux. */
const MS_PER_CLOCK_TICK = 10;
const KIB_PER_MIB = 1024;

interface Usage {
    readonly rssMib: number;
    readonly cpuMs: number;
}

function usageOf(pid: number): Usage {
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

interface Path {
    readonly pool: Pool;
    readonly path: string;
}

async function call({ pool, path }: Path): Promise<number> {
    const start = performance.now();
    const answer = await pool.request({ method: "GET", path });
    await answer.body.dump();
    if (answer.statusCode !== 200) throw new Error(`${path} answered ${answer.statusCode}`);
    return performance.now() - start;
}

interface Bench {
    readonly direct: Path;
    readonly through: Path;
    readonly pids: { readonly egress: number; readonly ingress: number; };
}

interface RunResult {
    readonly direct: readonly number[];
    readonly through: readonly number[];
}

/** Sends calls of both paths at fixed times, whether or not earlier ones have ended. */
async function runLoad(bench: Bench, rate: number, calls: number): Promise<RunResult> {
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
    const calls = Math.max(MIN_SAMPLES, Math.ceil(rate * MIN_RUN_MS / 1_000));
    const rows: Row[] = [];
    for (let i = 0; i < RUNS; i++) {
        const before = [usageOf(bench.pids.egress), usageOf(bench.pids.ingress)] as const;
        const { direct, through } = await runLoad(bench, rate, calls);
        const after = [usageOf(bench.pids.egress), usageOf(bench.pids.ingress)] as const;
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
    const started = [];
    for (const service of ["booking", "calendar"]) {
        const [entry, peer, egress, target] = await Promise.all(Array.from({ length: 4 }, freePort));
        const [entryAt, peerAt, egressAt, listenAt] = [entry, peer, egress, target].map(port =>
            `${HOST}:${port}`
        );
        const common = ["--service", service, "--egress", egressAt!];
        const node = ["node", ...common, "--data-centre", "a", "--entry", entryAt!, "--peer", peerAt!];
        const child = processes.start([...node, "--log-url", logUrl]);
        await waitForStatus(`http://${peerAt}/healthz`, 200);
        processes.start(["standin-target", ...common, "--listen", listenAt!]);
        await waitForStatus(`http://${listenAt}/standin/runs`, 200);
        started.push({ peer: peerAt!, egress: egressAt!, target: listenAt!, pid: child.pid! });
    }
    const [booking, calendar] = started as [typeof started[0] & object, typeof started[0] & object];
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
    const multiples = values.multiples?.split(",").map(Number) ?? MULTIPLES;
    const processes = new ProcessGroup();
    const logPort = await freePort();
    const log = new LogService({ address: { host: HOST, port: logPort } });
    try {
        const bench = await startBench(processes, log, logPort);
        const before = usageOf(bench.pids.ingress);
        await delay(IDLE_MS);
        const after = usageOf(bench.pids.ingress);
        const idle = { rssMib: after.rssMib, cpuPercent: (after.cpuMs - before.cpuMs) / IDLE_MS * 100 };
        await runLoad(bench, WARM_UP_CALLS / 2, WARM_UP_CALLS);
        const rows: Row[] = [];
        for (const multiple of multiples) rows.push(await measureRate(bench, BASE_RATE * multiple));
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
