/** `filbertspool dev`: log service, targets and nodes in one process on loopback, a call and a changed file set. */
import { randomUUID } from "node:crypto";
import { request } from "undici";
import { LogClient } from "../logClient.ts";
import { NO_BASE } from "../logRecords.ts";
import { NodeRuntime } from "../runtime.ts";
import { LogService } from "../standins/logService.ts";
import { Target } from "../standins/target.ts";
import type { Address, Configuration } from "../types.ts";

const FIRST_PORT = 17_900;
const HOST = "127.0.0.1";
const POLL_MS = 100;

const CHAIN = [
    { service: "calendar", calls: ["booking"] },
    { service: "booking", calls: ["gallery"] },
    { service: "gallery", calls: [] },
] as const;

function createConfiguration(retries: number): Configuration {
    return {
        kinds: [{
            name: "book",
            priority: 0,
            worth: 100,
            nonIdempotent: true,
            retries,
            deadlineMs: 2_000,
            external: true,
        }],
        services: CHAIN.map(({ service, calls }) => ({
            name: service,
            defaultKind: "book",
            calls,
            connections: 64,
        })),
        resendHorizonMs: 600_000,
        replacedServices: [],
    };
}

export async function runDev(print: (line: string) => void): Promise<void> {
    let port = FIRST_PORT;
    const nextAddress = (): Address => ({ host: HOST, port: port++ });
    const logAddress = nextAddress();
    const logService = new LogService({ address: logAddress });
    await logService.start();
    const logUrl = `http://${HOST}:${logAddress.port}`;
    const nodes: NodeRuntime[] = [];
    const targets: Target[] = [];
    const entries: Address[] = [];
    for (const { service, calls } of CHAIN) {
        const [entry, peer, egress, address] = [nextAddress(), nextAddress(), nextAddress(), nextAddress()];
        const settings = { service, dataCentre: "dev", entry, peer, egress, logUrl, join: [] };
        const node = new NodeRuntime({ settings, onExit: () => undefined });
        await node.start();
        const target = new Target({ service, address, egress, calls });
        await target.start();
        nodes.push(node);
        targets.push(target);
        entries.push(entry);
    }
    const log = new LogClient(logUrl);
    const id = randomUUID();
    await log.append({
        type: "config",
        id,
        base: NO_BASE,
        author: "dev",
        configuration: createConfiguration(2),
    });
    const url = `http://${HOST}:${entries[0]!.port}/launches/7`;
    for (;;) {
        const res = await request(url, { method: "POST", body: "seat=1" });
        const body = await res.body.text();
        print(`${res.statusCode} ${body}`);
        if (res.statusCode === 200) break;
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    await log.close();
    await Promise.all(targets.map(target => target.stop()));
    await Promise.all(nodes.map(node => node.stop()));
    await logService.stop();
}
