/**
 * `filbertspool dev`: runs a small deployment in one process on the loopback interface and demonstrates a call through
 * three services, a configuration change, and two operators who apply conflicting changes at the same time.
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { CommandError, messageOf } from "../errors.ts";
import { readFileSet, renderFileSet } from "../files.ts";
import { LogClient } from "../logClient.ts";
import { readNodeStatuses } from "../nodeStatus.ts";
import type { Print } from "../publish.ts";
import { publish } from "../publish.ts";
import { NodeRuntime } from "../runtime.ts";
import type { Environment, Flags } from "../settings.ts";
import { SettingsReader } from "../settings.ts";
import { LogService } from "../standins/logService.ts";
import { Target } from "../standins/target.ts";
import type { Address, Configuration } from "../types.ts";
import { formatAddress } from "../types.ts";
import { checkFlags, readNonNegativeInteger } from "./flags.ts";

const HOST = "127.0.0.1";
const POLL_INTERVAL_MS = 100;
const START_TIMEOUT_MS = 30_000;
const APPLY_TIMEOUT_MS = 30_000;

const CALL_CHAIN = [
    { service: "calendar", calls: ["booking"] },
    { service: "booking", calls: ["gallery"] },
    { service: "gallery", calls: [] },
] as const;

interface DevNode {
    readonly service: string;
    readonly entry: Address;
    readonly peer: Address;
    readonly egress: Address;
    readonly runtime: NodeRuntime;
    readonly target: Target;
}

interface Deployment {
    readonly log: LogClient;
    readonly logUrl: string;
    readonly nodes: readonly DevNode[];
    readonly stop: () => Promise<void>;
}

export async function runDev(flags: Flags, env: Environment, print: Print): Promise<void> {
    const reader = new SettingsReader(flags, env);
    const port = reader.optional(
        "port",
        text => {
            const first = readNonNegativeInteger(text);
            return first !== undefined && first >= 1 && first <= 65_000 ? first : undefined;
        },
        "a port from 1 to 65000",
    );
    checkFlags(reader);
    const signalReceived = new Promise<void>(resolve => {
        for (const signal of ["SIGINT", "SIGTERM"] as const) process.once(signal, resolve);
    });
    const deployment = await startDeployment(print, port);
    const directory = mkdtempSync(join(tmpdir(), "filbertspool-dev-"));
    try {
        await Promise.race([demonstrate(deployment, directory, print), signalReceived]);
        if (flags["once"] !== true) await signalReceived;
    }
    finally {
        await deployment.stop();
        rmSync(directory, { recursive: true });
    }
}

async function startDeployment(print: Print, firstPort: number | undefined): Promise<Deployment> {
    let usedPorts = 0;
    const nextAddress = async (): Promise<Address> => ({
        host: HOST,
        port: firstPort === undefined ? await freePort() : firstPort + usedPorts++,
    });
    const logAddress = await nextAddress();
    const logService = new LogService({ address: logAddress });
    await logService.start();
    const logUrl = `http://${formatAddress(logAddress)}`;
    print(`log service (stand-in) at ${logUrl}`);
    const nodes: DevNode[] = [];
    for (const { service, calls } of CALL_CHAIN) {
        const [entry, peer, egress, address] = [
            await nextAddress(),
            await nextAddress(),
            await nextAddress(),
            await nextAddress(),
        ];
        const settings = { service, dataCentre: "dev", entry, peer, egress, logUrl, join: [] };
        const runtime = new NodeRuntime({ settings, onExit: () => undefined });
        await runtime.start();
        const target = new Target({ service, address, egress, calls });
        await target.start();
        nodes.push({ service, entry, peer, egress, runtime, target });
        print(
            `${service}: node with entry ${formatAddress(entry)} and peer ${formatAddress(peer)}, `
                + `target (stand-in) ${formatAddress(address)}${
                    calls.length === 0 ? "" : `, calls ${calls.join()}`
                }`,
        );
    }
    const log = new LogClient(logUrl);
    const stop = async () => {
        await log.close();
        await Promise.all(nodes.map(node => node.target.stop()));
        await Promise.all(nodes.map(node => node.runtime.stop()));
        await logService.stop();
    };
    return { log, logUrl, nodes, stop };
}

async function demonstrate(deployment: Deployment, directory: string, print: Print): Promise<void> {
    const { logUrl, nodes } = deployment;
    print(`\n1. A file set is applied: ${directory}`);
    writeFileSet(directory, createConfiguration(true));
    await applyFileSet(deployment, directory, "dev", print);
    await waitUntilJoined(nodes);

    print("\n2. A booking crosses three services, with one run each.");
    const entry = nodes[0]!.entry;
    const response = await sendRequest(entry, "book", "booking-1");
    print(`POST http://${formatAddress(entry)}/launches/7, kind book: ${response}`);
    print(`runs: ${formatRunCounts(nodes)}`);
    print(
        `the same booking again, with the same idempotency key: ${await sendRequest(
            entry,
            "book",
            "booking-1",
        )}`,
    );
    print(`runs: ${formatRunCounts(nodes)}`);
    print(`kind browse: ${await sendRequest(entry, "browse")}`);

    print("\n3. The file set is changed: callers outside may no longer browse (external: false).");
    writeFileSet(directory, createConfiguration(false));
    await applyFileSet(deployment, directory, "dev", print);
    print(`kind browse: ${await sendRequest(entry, "browse")}`);
    print(`kind book: ${await sendRequest(entry, "book", "booking-2")}`);

    print("\n4. Two operators apply different changes at the same time.");
    await applyConcurrently(deployment, print);

    print("\nTry it:");
    print(`    curl -X POST -H 'baggage: fp.kind=book' http://${formatAddress(entry)}/launches/7`);
    print(`    filbertspool status --node ${formatAddress(nodes[0]!.peer)}`);
    print(`    edit ${directory}/kinds.yaml, then: filbertspool diff ${directory} --log-url ${logUrl}`);
    print(`    filbertspool apply ${directory} --log-url ${logUrl}`);
}

function createConfiguration(externalBrowse: boolean, retries = 2): Configuration {
    const kind = { retries, deadlineMs: 2_000 };
    return {
        kinds: [
            { name: "book", priority: 0, worth: 100, nonIdempotent: true, external: true, ...kind },
            {
                name: "browse",
                priority: 6,
                worth: 1,
                nonIdempotent: false,
                external: externalBrowse,
                ...kind,
            },
        ],
        services: CALL_CHAIN.map(({ service, calls }) => ({
            name: service,
            defaultKind: "browse",
            calls,
            connections: 64,
        })),
        resendHorizonMs: 600_000,
        replacedServices: [],
    };
}

function writeFileSet(directory: string, configuration: Configuration): void {
    for (const [file, text] of Object.entries(renderFileSet(configuration))) {
        writeFileSync(join(directory, file), text);
    }
}

function applyFileSet(
    { log, nodes }: Deployment,
    directory: string,
    author: string,
    print: Print,
): Promise<number> {
    return publish({
        log,
        configuration: readFileSet(directory),
        author,
        nodes: nodes.map(node => node.peer),
        timeoutMs: APPLY_TIMEOUT_MS,
        print,
    });
}

async function applyConcurrently({ log, nodes }: Deployment, print: Print): Promise<void> {
    const base =
        (await readNodeStatuses([nodes[0]!.peer])).map(nodeResult =>
            nodeResult.success ? nodeResult.status.config?.number : undefined
        )[0];
    const operators = [{ author: "anna", retries: 1 }, { author: "ben", retries: 3 }];
    const results = await Promise.allSettled(operators.map(({ author, retries }) =>
        publish({
            log,
            configuration: createConfiguration(false, retries),
            author,
            base,
            nodes: nodes.map(node => node.peer),
            timeoutMs: APPLY_TIMEOUT_MS,
            print: () => undefined,
        })
    ));
    results.forEach((result, index) => {
        const { author } = operators[index]!;
        print(
            `${author}: ${
                result.status === "fulfilled"
                    ? `version ${result.value} is in force`
                    : messageOf(result.reason)
            }`,
        );
    });
}

async function sendRequest(entry: Address, kind: string, key?: string): Promise<string> {
    const response = await request(`http://${formatAddress(entry)}/launches/7`, {
        method: "POST",
        headers: {
            baggage: `fp.kind=${kind}`,
            ...(key === undefined ? {} : { "idempotency-key": key }),
        },
    });
    return `${response.statusCode} ${await response.body.text()}`;
}

function formatRunCounts(nodes: readonly DevNode[]): string {
    return nodes.map(node => `${node.service} ${node.target.runs.length}`).join(", ");
}

/**
 * Waits until every node has a view of each service, which exists once a target of the service has joined. Throws
 * `CommandError` after `START_TIMEOUT_MS`.
 */
async function waitUntilJoined(nodes: readonly DevNode[]): Promise<void> {
    for (const startedAt = performance.now(); performance.now() < startedAt + START_TIMEOUT_MS;) {
        const results = await readNodeStatuses(nodes.map(node => node.peer));
        const joined = results.every(result =>
            result.success && CALL_CHAIN.every(({ service }) => result.status.views[service] !== undefined)
        );
        if (joined) return;
        await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    const message = `the targets did not join within ${START_TIMEOUT_MS / 1_000} s`;
    throw new CommandError([{ code: "start", path: [], message }]);
}

function freePort(): Promise<number> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, HOST, () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(port));
        });
    });
}
