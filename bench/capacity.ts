/**
 * Measures what control traffic costs one real node in a deployment of N members, of which the others are simulated:
 * share of a CPU core, resident memory, and bytes per second in each direction. The phases are rest, configuration
 * changes, churn (replaced members), a partition and its healing. Flags: `--members 20,100,300,950`, `--seconds 10`,
 * `--json FILE`.
 */
import { spawn } from "node:child_process";
import { writeFileSync } from "node:fs";
import sade from "sade";
import { request } from "undici";
import type { LogRecord } from "../src/logRecords.ts";
import { NO_BASE } from "../src/logRecords.ts";
import { LogService } from "../src/standins/logService.ts";
import type { Address, Configuration, Member } from "../src/types.ts";
import { formatAddress } from "../src/types.ts";
import { freePort } from "../test/support/processes.ts";
import { SimulatedPeers } from "./peers.ts";
import { cpuMs, rssMib } from "./processStats.ts";

const BINARY = new URL("../dist/filbertspool", import.meta.url).pathname;
const HOST = "127.0.0.1";
const FIRST_PEER_PORT = 21_000;
const MEMBERS_PER_SERVICE = 10;
const VOTERS_PER_SERVICE = 7;
const SETTLE_MS = 8_000;
const MS_PER_S = 1_000;
/** Far more than the expected 152 replacements a day, so that the cost of churn is large enough to measure. */
const CHURN_PER_S = 0.5;
/** Far more than the expected 3,200 changes a day, so that their cost is large enough to measure. */
const CHANGES_PER_S = 1;

export interface PhaseResult {
    readonly members: number;
    readonly phase: string;
    readonly cpuPercent: number;
    readonly rssMb: number;
    readonly sentBytesPerS: number;
    readonly receivedBytesPerS: number;
    readonly datagramsPerS: number;
}

function createMembers(count: number, generation = 0): readonly Member[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `${generation}-${index.toString(16).padStart(12, "0")}`,
        service: `service-${Math.floor(index / MEMBERS_PER_SERVICE)}`,
        address: { host: HOST, port: FIRST_PEER_PORT + index },
        dataCentre: `dc-${index % 4}`,
    }));
}

/** A configuration of the intended size: 92 services and 24 kinds. */
function createConfiguration(): Configuration {
    return {
        kinds: Array.from({ length: 24 }, (_, index) => ({
            name: `kind-${index}`,
            priority: index % 8,
            worth: index,
            nonIdempotent: index % 4 === 0,
            retries: 2,
            deadlineMs: 2_000,
            external: true,
        })),
        services: Array.from({ length: 92 }, (_, index) => ({
            name: `service-${index}`,
            defaultKind: "kind-1",
            calls: index + 1 < 92 ? [`service-${index + 1}`] : [],
            connections: 1_000,
        })),
        resendHorizonMs: 600_000,
        replacedServices: [],
    };
}

class CapacityBench {
    private readonly members: readonly Member[];
    private readonly peers: SimulatedPeers;
    private readonly log: LogService;
    private readonly logAddress: Address;
    private readonly node: Address;
    private configId = NO_BASE;
    private configNumber = 0;
    private readonly results: PhaseResult[] = [];
    private readonly phaseSeconds: number;

    constructor(count: number, ports: readonly number[], seconds: number) {
        this.phaseSeconds = seconds;
        this.logAddress = { host: HOST, port: ports[0]! };
        this.node = { host: HOST, port: ports[1]! };
        this.members = createMembers(count - 1);
        this.peers = new SimulatedPeers(this.members, this.node);
        this.log = new LogService({ address: this.logAddress });
    }

    async runPhases(egressPort: number, entryPort: number): Promise<readonly PhaseResult[]> {
        await this.log.start();
        await this.peers.start();
        await this.changeConfiguration();
        await this.appendInitialViews();
        const child = spawn(BINARY, [
            "node",
            ...[
                "--service",
                "service-0",
                "--data-centre",
                "dc-0",
                "--log-url",
                `http://${formatAddress(this.logAddress)}`,
            ],
            ...[
                "--peer",
                formatAddress(this.node),
                "--egress",
                `${HOST}:${egressPort}`,
                "--entry",
                `${HOST}:${entryPort}`,
            ],
        ], { stdio: ["ignore", "ignore", "inherit"] });
        try {
            await this.announceTarget(egressPort);
            const announceTimer = setInterval(() => void this.announceTarget(egressPort), 2 * MS_PER_S);
            await delay(SETTLE_MS);
            const pid = child.pid!;
            await this.measure(pid, "rest", async () => undefined);
            await this.measure(pid, "changes", () => this.changeConfiguration(), MS_PER_S / CHANGES_PER_S);
            await this.measure(pid, "churn", () => this.rejoinMember(), MS_PER_S / CHURN_PER_S);
            for (const member of this.members.slice(this.members.length / 2)) {
                this.peers.unresponsive.add(member.id);
            }
            await this.measure(pid, "partition", async () => undefined);
            this.peers.unresponsive.clear();
            await this.measure(pid, "heal", async () => undefined);
            clearInterval(announceTimer);
        }
        finally {
            child.kill("SIGKILL");
            await this.peers.stop();
            await this.log.stop();
        }
        return this.results;
    }

    private async measure(
        pid: number,
        phase: string,
        action: () => Promise<void>,
        periodMs?: number,
    ): Promise<void> {
        const timer = periodMs === undefined ? undefined : setInterval(() => void action(), periodMs);
        const before = { cpu: cpuMs(pid), traffic: this.traffic(), at: performance.now() };
        await delay(this.phaseSeconds * MS_PER_S);
        const seconds = (performance.now() - before.at) / MS_PER_S;
        const after = this.traffic();
        clearInterval(timer);
        this.results.push({
            members: this.members.length + 1,
            phase,
            cpuPercent: (cpuMs(pid) - before.cpu) / (seconds * MS_PER_S) * 100,
            rssMb: rssMib(pid),
            sentBytesPerS: (after.fromNode - before.traffic.fromNode) / seconds,
            receivedBytesPerS: (after.toNode - before.traffic.toNode) / seconds,
            datagramsPerS: (after.datagramsFromNode - before.traffic.datagramsFromNode) / seconds,
        });
    }

    /** Bytes of control traffic: datagrams, RPCs between nodes, and requests to the log service. */
    private traffic(): {
        readonly fromNode: number;
        readonly toNode: number;
        readonly datagramsFromNode: number;
    } {
        const peers = this.peers.traffic();
        const log = this.log.traffic();
        return {
            fromNode: peers.fromNode + log.received,
            toNode: peers.toNode + log.sent,
            datagramsFromNode: peers.datagramsFromNode,
        };
    }

    private async changeConfiguration(): Promise<void> {
        const id = `config-${++this.configNumber}`;
        this.append({
            type: "config",
            id,
            base: this.configId,
            author: "bench",
            configuration: createConfiguration(),
        });
        this.configId = id;
    }

    private async appendInitialViews(): Promise<void> {
        const services = new Map<string, Member[]>();
        for (const member of this.members) {
            services.set(member.service, [...services.get(member.service) ?? [], member]);
        }
        for (const [service, members] of services) {
            this.append({
                type: "view",
                id: `first-${service}`,
                service,
                baseVersion: 0,
                change: "join",
                members,
                voters: members.slice(0, VOTERS_PER_SERVICE),
                backers: [],
            });
        }
    }

    private rejoins = 0;

    /**
     * Imitates the replacement of an instance. The log gets a leave and a join of the last member, both under the same
     * id, and gossip an update that it is alive, with a higher refutation counter.
     */
    private async rejoinMember(): Promise<void> {
        const index = this.members.length - 1;
        const member = this.members[index]!;
        const base = 1 + 2 * this.rejoins++;
        const voters = this.members.filter(other => other.service === member.service).slice(
            0,
            VOTERS_PER_SERVICE,
        );
        const backers = voters.map(voter => voter.id);
        const commonFields = {
            type: "view",
            service: member.service,
            members: [member],
            voters,
            backers,
        } as const;
        this.peers.updates = [{ member, status: "alive", refutation: this.rejoins }];
        this.append({ ...commonFields, id: `leave-${base}`, baseVersion: base, change: "leave" });
        this.append({ ...commonFields, id: `join-${base}`, baseVersion: base + 1, change: "join" });
    }

    /** Appends without an HTTP request, so that the traffic of the log service is only that of the node. */
    private append(record: LogRecord): void {
        this.log.append("control", record);
    }

    /** Announces the node's own egress listener as its target. The benchmark runs no target and sends no requests. */
    private async announceTarget(egressPort: number): Promise<void> {
        for (;;) {
            try {
                const res = await request(`http://${HOST}:${egressPort}/announce`, {
                    method: "POST",
                    headers: { "content-type": "application/json" },
                    body: JSON.stringify({ service: "service-0", address: { host: HOST, port: egressPort } }),
                });
                await res.body.dump();
                return;
            }
            catch {
                await delay(100);
            }
        }
    }
}

function delay(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

function printTable(results: readonly PhaseResult[]): void {
    console.log("members  phase      CPU %  RSS MiB   sent B/s   received B/s   datagrams/s");
    for (const row of results) {
        console.log([
            String(row.members).padStart(7),
            row.phase.padEnd(9),
            row.cpuPercent.toFixed(2).padStart(6),
            row.rssMb.toFixed(1).padStart(7),
            row.sentBytesPerS.toFixed(0).padStart(9),
            row.receivedBytesPerS.toFixed(0).padStart(13),
            row.datagramsPerS.toFixed(1).padStart(12),
        ].join("  "));
    }
}

async function main(
    opts: { readonly members: string; readonly seconds: number; readonly json?: string; },
): Promise<void> {
    const results: PhaseResult[] = [];
    for (const count of String(opts.members).split(",").map(Number)) {
        const ports = [await freePort(), await freePort()];
        const bench = new CapacityBench(count, ports, Number(opts.seconds));
        results.push(...await bench.runPhases(await freePort(), await freePort()));
    }
    printTable(results);
    if (opts.json !== undefined) writeFileSync(opts.json, `${JSON.stringify(results, undefined, 4)}\n`);
}

sade("capacity", true)
    .option("--members", "Member counts, separated by commas", "20,100,300,950")
    .option("--seconds", "Seconds for each phase", 10)
    .option("--json", "File for the results")
    .action((opts: { readonly members: string; readonly seconds: number; readonly json?: string; }) =>
        void main(opts)
    )
    .parse(process.argv);
