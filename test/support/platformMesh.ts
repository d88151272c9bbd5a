/** A small platform deployment in one process: a stand-in store, and nodes with stand-in targets. */
import { PlatformNode } from "../../platform/platformNode.ts";
import type { PlatformSettings } from "../../platform/settings.ts";
import { EventLog } from "../../src/mesh/eventLog.ts";
import { freeListenerPort } from "./freePorts.ts";
import { StandinStore } from "./standinStore.ts";
import { sendRequest, StandinTarget } from "./standinTarget.ts";
import type { ReceivedResponse, SendOptions } from "./standinTarget.ts";

export const VIRTUAL_HOST = "shop.example";

export interface HostOptions {
    readonly name: string;
    readonly service: string;
    readonly dataCentre?: string;
    /** Call that the target makes while it handles a request. */
    readonly downstreamCall?: { readonly host: string; readonly path: string; };
}

/** A node together with its local target. */
export interface MeshHost {
    readonly node: PlatformNode;
    readonly app: StandinTarget;
    readonly settings: PlatformSettings;
    readonly log: string[];
    /** Sends a client request to the node. */
    send(
        options: Omit<SendOptions, "port" | "host"> & { readonly host?: string; },
    ): Promise<ReceivedResponse>;
}

const POLL_INTERVAL_MS = 10;
const MAX_POLLS = 1500;

/** Polls until a condition holds. Throws after 15 s, so that a failure ends the test instead of blocking it. */
export async function waitFor(description: string, condition: () => boolean): Promise<void> {
    for (let pollCount = 0; pollCount < MAX_POLLS; pollCount++) {
        if (condition()) return;
        await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    throw new Error(`timed out waiting for: ${description}`);
}

/** Route in the JSON format of the operator's configuration. */
export function wireRoute(fields: Readonly<Record<string, unknown>> = {}): Readonly<Record<string, unknown>> {
    return {
        name: "r-safe",
        path_prefix: "/safe/",
        kind: "safe",
        timeout: "3000ms",
        target_latency: "1000ms",
        priority: 1,
        service: "shop",
        max_attempts: 2,
        ...fields,
    };
}

/** Operator's configuration in its JSON format. */
export function wireConfig(
    version: number,
    paths: readonly unknown[] = [
        wireRoute(),
        wireRoute({ name: "r-unsafe", path_prefix: "/unsafe/", kind: "unsafe" }),
    ],
): Readonly<Record<string, unknown>> {
    const service = (name: string) => ({
        name,
        health_path: "/health",
        max_connections: 100,
        protocol: "h1",
    });
    return {
        version: `r${version}`,
        services: [service("shop"), service("stock")],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 65_536,
            header_timeout: "3s",
            idle_timeout: "15s",
        },
        virtual_hosts: [{ host: VIRTUAL_HOST, paths }],
    };
}

/** Client account in the JSON format of the operator's configuration. */
export function wireAccount(
    name: string,
    fields: Readonly<Record<string, unknown>> = {},
): Readonly<Record<string, unknown>> {
    return { name, api_keys: [`key-of-${name}`], ...fields };
}

export class PlatformMesh {
    readonly store = new StandinStore();
    readonly hosts: MeshHost[] = [];
    private storePort = 0;

    async start(
        hosts: readonly HostOptions[],
        { config = wireConfig(1), isConfigured = true }: { config?: unknown; isConfigured?: boolean; } = {},
    ): Promise<void> {
        this.storePort = await this.store.start();
        if (isConfigured) this.store.putConfig(config);
        for (const host of hosts) await this.addHost(host);
        await this.waitForDiscovery();
    }

    /** Waits until every node can use the targets of all nodes. */
    async waitForDiscovery(): Promise<void> {
        await waitFor(
            "all targets usable from all nodes",
            () =>
                this.hosts.every(({ node }) =>
                    this.hosts.every(other =>
                        node.meshNode.directory.get(other.settings.nodeName)?.isUsable === true
                    )
                ),
        );
    }

    async addHost(options: HostOptions): Promise<MeshHost> {
        const settings = await this.createSettings(options);
        const app = new StandinTarget({
            id: `i-${options.name}`,
            service: options.service,
            port: settings.target.port,
            heartbeatPort: settings.heartbeats.port,
            outboundPort: settings.outbound.port,
            downstreamCall: options.downstreamCall,
        });
        await app.start();
        const { node, log } = await this.startNode(settings);
        const host: MeshHost = {
            node,
            app,
            settings,
            log,
            send: request => sendRequest({ port: settings.outbound.port, host: VIRTUAL_HOST, ...request }),
        };
        this.hosts.push(host);
        await app.heartbeat();
        return host;
    }

    async startNode(settings: PlatformSettings): Promise<{ node: PlatformNode; log: string[]; }> {
        const log: string[] = [];
        const eventLog = new EventLog({ write: line => log.push(line), base: { node: settings.nodeName } });
        const node = new PlatformNode(settings, eventLog);
        await node.start();
        return { node, log };
    }

    async stop(): Promise<void> {
        for (const { app } of this.hosts) app.stop();
        for (const { node } of this.hosts) node.close();
        this.store.stop();
    }

    private async createSettings(
        { name, service, dataCentre = "a" }: HostOptions,
    ): Promise<PlatformSettings> {
        const allocateAddress = async () => ({ host: "127.0.0.1", port: await freeListenerPort() });
        return {
            nodeName: name,
            dataCentre,
            service,
            target: await allocateAddress(),
            outbound: await allocateAddress(),
            readiness: await allocateAddress(),
            heartbeats: await allocateAddress(),
            peer: await allocateAddress(),
            metrics: await allocateAddress(),
            // Every address of 127.0.0.0/8 reaches the store, which can therefore tell the nodes apart.
            store: { host: `127.0.0.${10 + this.hosts.length}`, port: this.storePort },
            graceMs: 6000,
            retryRatio: 0.2,
            retrySlack: 48,
            retryWindowMs: 10_000,
            quotaBounds: { windowMs: 5000, overage: 0.1, slack: 20 },
            learnsCapacity: false,
        };
    }
}
