/**
 * The other nodes that this node knows, and its connections to them. Node records come from the store or directly from
 * other nodes. This node sends changes of its own record directly to all connected nodes.
 */
import { JSONRPCServer } from "json-rpc-2.0";
import * as v from "valibot";
import { idleKeepaliveMs } from "../policy/controlRate.ts";
import type { RouteCalls } from "../policy/routeCalls.ts";
import type { RouteDependencies, RouteDependencyMap } from "../policy/routeDependencies.ts";
import { storeRankOf, storeRoleOf } from "../policy/storeRole.ts";
import type { StoreRole } from "../policy/storeRole.ts";
import { steadyNow } from "./clock.ts";
import { ConfigSync, toTransferForm } from "./configSync.ts";
import type { CrashReport } from "./crashGuard.ts";
import { dependenciesSchema } from "./dependencyMessages.ts";
import type { EventLog } from "./eventLog.ts";
import type { FrameSocket } from "./frameSocket.ts";
import { NodeDirectory, safeParseNodeRecord } from "./nodeDirectory.ts";
import type { KnownNode, RecordSource } from "./nodeDirectory.ts";
import { PeerLink } from "./peerLink.ts";
import type { OutcomeListener, PeerLinkOptions } from "./peerLink.ts";
import type { TargetHistory } from "./targetHistory.ts";
import type { ForwardedRequest, NodeRecord } from "./types.ts";

export interface PeersOptions {
    readonly name: string;
    readonly dataCentre: string;
    readonly log: EventLog;
    readonly memory?: PeerLinkOptions["memory"];
    readonly ownRecord: () => NodeRecord;
    readonly configVersion: () => number;
    /** Encoded form of the configuration in force; `undefined` until there is one. */
    readonly encodedConfig: () => Buffer | undefined;
    readonly onConfig: (encoded: Buffer, from: string) => void;
    readonly dependencies: RouteDependencyMap;
    readonly routeCalls: Pick<RouteCalls, "all" | "merge" | "takeIncreases">;
    readonly onCrashReport: (params: unknown) => void;
    /** Suspects of crashes, for a node that may have just started; `undefined` if there are none. */
    readonly crashState: () => CrashReport | undefined;
    readonly onNodeCountChange: (nodeCount: number) => void;
    /** Wants to know what other nodes know of this one, after a restart. */
    readonly targetHistory?: Pick<TargetHistory, "isWaiting" | "onPeerRecord">;
    readonly storeEra?: () => number | undefined;
    /** Handles the era of the store that another node has read. */
    readonly onReportedEra?: (era: number) => void;
}

type RpcChannel = Pick<FrameSocket, "notify" | "request">;

/** Minimum time between two probes of all connections. */
const MIN_PROBE_INTERVAL_MS = 1000;
/** Time without received data after which a probe pings a connection. */
const PROBE_KEEPALIVE_MS = 300;
/**
 * Interval at which the connection that has been silent for longest is pinged. All connections can go silent at the
 * same moment; the first failed ping shows it, and the probe of the others follows.
 */
const SENTINEL_INTERVAL_MS = 500;
const MAX_LOGGED_KEY_LENGTH = 100;
const NODE_LIST_REQUEST_INTERVAL_MS = 500;
/** A node that knows no more nodes than this, itself included, requests the other node's list on a new connection. */
const MAX_KNOWN_NODES_FOR_LIST_REQUEST = 2;

export class Peers {
    readonly directory: NodeDirectory;
    readonly rpcServer = new JSONRPCServer();
    private readonly links = new Map<KnownNode, PeerLink>();
    private readonly configSync: ConfigSync;
    private readonly ownStoreRank: number;
    private canReadStore = true;
    private transferForm: { readonly encoded: Buffer; readonly text: string; } | undefined;
    private isProbeWanted = false;
    private probedAt = -Infinity;
    private sentinelPingedAt = -Infinity;
    private nodeListRequestedAt = -Infinity;

    constructor(private readonly options: PeersOptions) {
        this.directory = new NodeDirectory({
            name: options.name,
            dataCentre: options.dataCentre,
            onAdded: node => this.onAdded(node),
            onRemoved: node => this.onRemoved(node),
        });
        this.ownStoreRank = storeRankOf(options.name);
        this.configSync = new ConfigSync({
            ...options,
            storeRole: () => this.storeRole(),
            nodes: () => this.directory.allNodes(),
            request: node => this.request(node, "config.fetch", {}),
        });
        this.addRpcMethods();
    }

    send(node: KnownNode, req: ForwardedRequest, listener: OutcomeListener): () => void {
        const link = this.links.get(node);
        if (link === undefined) {
            listener.onOutcome({ kind: "not-run", reason: "link-down" }, undefined);
            return () => undefined;
        }
        const streamNumber = link.send(req, listener);
        return () => link.cancel(streamNumber);
    }

    /** Sends a JSON-RPC request to a node. */
    request(node: KnownNode, method: string, params: unknown): PromiseLike<unknown> {
        return this.links.get(node)?.request(method, params)
            ?? Promise.reject(new Error("no link to the node"));
    }

    /**
     * Pings silent connections. If a ping fails, all connections that are not in use are pinged: the cause may concern
     * all of them, and a request must not be the first to find out.
     */
    tick(now: number): void {
        const mayProbe = this.isProbeWanted && now - this.probedAt >= MIN_PROBE_INTERVAL_MS;
        if (mayProbe) {
            this.probedAt = now;
            this.isProbeWanted = false;
        }
        const keepaliveMs = mayProbe ? PROBE_KEEPALIVE_MS : idleKeepaliveMs(this.directory.size);
        for (const link of this.links.values()) {
            if (link.tick(now, keepaliveMs)) this.isProbeWanted = true;
        }
        this.pingLongestSilent(now);
    }

    private pingLongestSilent(now: number): void {
        if (now - this.sentinelPingedAt < SENTINEL_INTERVAL_MS) return;
        this.sentinelPingedAt = now;
        let longest: PeerLink | undefined;
        let longestSince = now - SENTINEL_INTERVAL_MS;
        for (const link of this.links.values()) {
            const since = link.silentSince;
            if (since === undefined || since > longestSince) continue;
            longest = link;
            longestSince = since;
        }
        longest?.ping(now);
    }

    close(): void {
        this.configSync.stop();
        for (const link of this.links.values()) link.close();
    }

    /** Stores this node's changed record in its own directory and sends it to all connected nodes. */
    broadcastOwnRecord(): void {
        this.directory.upsert(this.options.ownRecord());
        for (const link of this.links.values()) link.notify("node.update", this.ownState());
    }

    /** The entry cutoff of a service includes the local target, if it belongs to the service. */
    setOwnCutoff(cutoff: number): void {
        const own = this.directory.get(this.options.name);
        if (own !== undefined) own.cutoff = cutoff;
    }

    /** Sends a report of a crash, or of requests that are no longer suspected, to all connected nodes. */
    broadcastCrashReport(report: CrashReport): void {
        for (const link of this.links.values()) link.notify("crashes.report", report);
    }

    /** Sends estimates of the calls of runs that have risen to all connected nodes. Called at regular intervals. */
    broadcastRouteCalls(): void {
        const calls = this.options.routeCalls.takeIncreases();
        if (calls.length === 0) return;
        for (const link of this.links.values()) link.notify("routes.use", { calls });
    }

    /** Sends newly observed dependencies of routes to all connected nodes. */
    broadcastDependencies(dependencies: readonly RouteDependencies[]): void {
        for (const link of this.links.values()) link.notify("routes.use", { uses: dependencies });
    }

    /**
     * Handles a new connection from another node. That node gets this node's state on the connection in the other
     * direction, which this node opens when it receives the hello: with N nodes, N² hellos are sent at a start already.
     */
    onAccepted(channel: RpcChannel): void {
        this.requestNodeList(channel);
    }

    /** Sends the state of this node that the other node needs on a new connection. */
    private sendHello(channel: RpcChannel): void {
        channel.notify("node.hello", this.ownState());
        const dependencies = this.options.dependencies.all();
        const calls = this.options.routeCalls.all();
        if (dependencies.length > 0) channel.notify("routes.use", { uses: dependencies, calls });
        const crashState = this.options.crashState();
        if (crashState !== undefined) channel.notify("crashes.report", crashState);
        this.requestNodeList(channel);
    }

    /** Handles a node's record in the store as `ControlStoreListener.onNode` describes it. */
    onStoredRecord(name: string, input: unknown, mayBeOlder = false): void {
        if (input !== undefined) {
            const record = safeParseNodeRecord(input);
            // A record under the key of another node was not written by the node that it describes.
            if (record?.name === name && record.hasLeft === true) this.onNodeLeft(record);
            else if (record?.name === name) this.applyRecord(record, mayBeOlder ? "others" : "store");
            else this.options.log.event("node-unreadable", { key: name.slice(0, MAX_LOGGED_KEY_LENGTH) });
            return;
        }
        const node = this.directory.get(name);
        if (node !== undefined) node.hasLeft = true;
        this.removeUnlessConnected(name);
    }

    /** Handles the record of a node that stopped after its target had left. */
    private onNodeLeft(record: NodeRecord): void {
        const node = this.directory.get(record.name);
        if (node === undefined || node.record.startedAt > record.startedAt) return;
        this.applyRecord(record, "store");
        node.hasLeft = true;
        this.removeUnlessConnected(record.name);
    }

    private removeUnlessConnected(name: string): void {
        const node = this.directory.get(name);
        // A stopping node stores that it has left while it still runs requests, so a connected node is kept. It is
        // removed when its connection is lost.
        if (node !== undefined && !node.isConnected) this.directory.remove(name);
    }

    /** Handles the configuration version of another node. */
    onPeerConfigVersion(node: KnownNode, version: number): void {
        this.configSync.onPeerVersion(node, version);
    }

    /** Asks the connected nodes for the record that they have of this node, in which an earlier process described it. */
    requestOwnRecord(): void {
        for (const [node, link] of this.links) if (node.isConnected) this.requestOwnRecordFrom(link);
    }

    private requestOwnRecordFrom(link: PeerLink): void {
        const { targetHistory, name } = this.options;
        if (targetHistory?.isWaiting !== true) return;
        link.request("node.known", { name }).then(
            record => targetHistory.onPeerRecord(record),
            (err: unknown) => this.options.log.event("node-known-failed", { cause: String(err) }),
        );
    }

    /** Whether this node follows the store, see `storeRoleOf`. */
    storeRole(): StoreRole {
        return storeRoleOf(this.ownStoreRank, this.directory.allNodes());
    }

    /** Tells all connected nodes whether this node can read the store, and the era of the store. */
    broadcastStoreState(canReadStore = this.canReadStore): void {
        this.canReadStore = canReadStore;
        for (const link of this.links.values()) link.notify("node.update", this.ownState());
    }

    private ownState(): Readonly<Record<string, unknown>> {
        return {
            record: this.options.ownRecord(),
            configVersion: this.options.configVersion(),
            canReadStore: this.canReadStore,
            storeEra: this.options.storeEra?.(),
        };
    }

    private addRpcMethods(): void {
        this.rpcServer.addMethod("node.hello", (params: unknown) => this.onNodeUpdate(params));
        this.rpcServer.addMethod("node.update", (params: unknown) => this.onNodeUpdate(params));
        this.rpcServer.addMethod("routes.use", (params: unknown) => this.onDependencies(params));
        this.rpcServer.addMethod("crashes.report", (params: unknown) => this.options.onCrashReport(params));
        this.rpcServer.addMethod("node.known", (params: unknown) => this.recordOfCaller(params));
        this.rpcServer.addMethod("nodes.list", () => [...this.directory.allNodes()].map(node => node.record));
        this.rpcServer.addMethod(
            "config.fetch",
            () => this.configInTransferForm(),
        );
    }

    private configInTransferForm(): string {
        const encoded = this.options.encodedConfig();
        if (encoded === undefined) return "";
        if (this.transferForm?.encoded !== encoded) {
            this.transferForm = { encoded, text: toTransferForm(encoded) };
        }
        return this.transferForm.text;
    }

    /** Record of the calling node with the last target that it had, also if an earlier process had announced it. */
    private recordOfCaller(params: unknown): Partial<NodeRecord> {
        const name = typeof params === "object" && params !== null && "name" in params
            ? params.name
            : undefined;
        return (typeof name === "string" ? this.directory.lastRecordOf(name) : undefined) ?? {};
    }

    /** Requests a node's list unless this node knows enough nodes or has requested one in the last 500 ms. */
    private requestNodeList(channel: RpcChannel): void {
        const now = steadyNow();
        if (
            this.directory.size > MAX_KNOWN_NODES_FOR_LIST_REQUEST
            || now - this.nodeListRequestedAt < NODE_LIST_REQUEST_INTERVAL_MS
        ) return;
        this.nodeListRequestedAt = now;
        channel.request("nodes.list", {}).then(
            list => {
                if (!Array.isArray(list)) return;
                for (const record of list) this.applyRecord(record);
            },
            (err: unknown) => this.options.log.event("nodes-list-failed", { cause: String(err) }),
        );
    }

    private onDependencies(params: unknown): void {
        const result = v.safeParse(dependenciesSchema, params);
        if (!result.success) return;
        for (const { route, services } of result.output.uses) this.options.dependencies.add(route, services);
        this.options.routeCalls.merge(result.output.calls);
    }

    private onNodeUpdate(params: unknown): void {
        if (typeof params !== "object" || params === null) return;
        const { record, configVersion, canReadStore, storeEra } = params as Readonly<Record<string, unknown>>;
        const node = this.applyRecord(record, "itself");
        if (node === undefined) return;
        node.canReadStore = canReadStore !== false;
        if (node.record.hasLeft === true) node.hasLeft = true;
        if (Number.isSafeInteger(storeEra)) this.options.onReportedEra?.(storeEra as number);
        this.links.get(node)?.reconnectNow();
        if (typeof configVersion === "number") this.onPeerConfigVersion(node, configVersion);
    }

    private applyRecord(input: unknown, source: RecordSource = "others"): KnownNode | undefined {
        const record = safeParseNodeRecord(input);
        if (record === undefined) {
            this.options.log.event("node-unreadable", {});
            return undefined;
        }
        if (record.name === this.options.name) return undefined;
        const hasChanged = this.directory.upsert(record, source);
        const node = this.directory.get(record.name);
        if (hasChanged && node !== undefined) this.onRecordChanged(node);
        return node;
    }

    private onRecordChanged(node: KnownNode): void {
        const { name, target } = node.record;
        this.options.log.event("node", {
            name,
            target: target?.id,
            state: target?.state,
            service: target?.service,
        });
        this.links.get(node)?.reconnectNow();
    }

    private onAdded(node: KnownNode): void {
        this.options.onNodeCountChange(this.directory.size);
        if (node.isSelf) {
            node.isConnected = true;
            return;
        }
        const link = new PeerLink({
            memory: this.options.memory,
            address: node.record.address,
            rpcServer: this.rpcServer,
            configVersion: this.options.configVersion,
            onConfigVersion: version => this.onPeerConfigVersion(node, version),
            onError: err =>
                this.options.log.event("peer-error", { name: node.record.name, cause: String(err) }),
            onCutoff: cutoff => {
                node.cutoff = cutoff;
            },
            onConnected: connectedLink => {
                node.isConnected = true;
                this.requestOwnRecordFrom(connectedLink);
                this.sendHello(connectedLink);
            },
            onDisconnected: () => {
                node.isConnected = false;
                this.options.log.event("link-down", { name: node.record.name, pending: node.inFlight });
                if (node.hasLeft) this.directory.remove(node.record.name);
            },
        });
        this.links.set(node, link);
    }

    private onRemoved(node: KnownNode): void {
        this.options.onNodeCountChange(this.directory.size);
        this.links.get(node)?.close();
        this.links.delete(node);
    }
}
