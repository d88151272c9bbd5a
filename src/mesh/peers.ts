/**
 * What this node knows of the others and its connections to them. Records come from the store or first-hand from the
 * nodes themselves; changes here are told to all that are connected, without the store.
 */
import { JSONRPCServer } from "json-rpc-2.0";
import * as v from "valibot";
import type { RouteDependencies, RouteDependencyMap } from "../policy/routeDependencies.ts";
import { steadyNow } from "./clock.ts";
import { Directory, safeParseNodeRecord } from "./directory.ts";
import type { KnownNode, RecordSource } from "./directory.ts";
import type { EventLog } from "./eventLog.ts";
import type { FrameSocket } from "./frameSocket.ts";
import { PeerLink } from "./peerLink.ts";
import type { SendListener } from "./peerLink.ts";
import type { NodeRecord, RunRequest } from "./types.ts";

export interface PeersOptions {
    readonly name: string;
    readonly dataCentre: string;
    readonly log: EventLog;
    readonly ownRecord: () => NodeRecord;
    readonly configVersion: () => number;
    /** The configuration in force, encoded; `undefined` before there is one. */
    readonly encodedConfig: () => Buffer | undefined;
    readonly onConfig: (encoded: Buffer, from: string) => void;
    readonly uses: RouteDependencyMap;
    readonly onCount: (nodes: number) => void;
}

const usesSchema = v.object({
    uses: v.array(v.object({ route: v.string(), services: v.array(v.string()) })),
});

type Greeted = Pick<FrameSocket, "notify" | "request">;

/** Time for the store to bring a configuration that a peer already has. */
const FETCH_AFTER_MS = 300;
const ASK_FOR_NODES_EVERY_MS = 500;
/** A node that knows no more than this many nodes asks others for theirs. */
const FEW_NODES = 2;

export class Peers {
    readonly directory: Directory;
    readonly rpcServer = new JSONRPCServer();
    private readonly links = new Map<KnownNode, PeerLink>();
    private isFetching = false;
    private askedForNodesAt = -Infinity;

    constructor(private readonly options: PeersOptions) {
        this.directory = new Directory({
            name: options.name,
            dataCentre: options.dataCentre,
            onAdded: node => this.onAdded(node),
            onRemoved: node => this.onRemoved(node),
        });
        this.addRpcMethods();
    }

    send(node: KnownNode, req: RunRequest, listener: SendListener): () => void {
        const link = this.links.get(node);
        if (link === undefined) {
            listener.onOutcome({ kind: "not-run", reason: "link-down" }, undefined);
            return () => undefined;
        }
        const stream = link.send(req, listener);
        return () => link.cancel(stream);
    }

    tick(now: number): void {
        for (const link of this.links.values()) link.tick(now);
    }

    close(): void {
        for (const link of this.links.values()) link.close();
    }

    /** Tells all connected nodes of a change of the own record. */
    tellAll(): void {
        const record = this.options.ownRecord();
        this.directory.learn(record);
        const update = { record, configVersion: this.options.configVersion() };
        for (const link of this.links.values()) link.notify("node.update", update);
    }

    /** Tells all connected nodes of services that a route was seen to use. */
    tellUses(uses: readonly RouteDependencies[]): void {
        for (const link of this.links.values()) link.notify("routes.use", { uses });
    }

    greet(frames: Greeted): void {
        frames.notify("node.hello", {
            record: this.options.ownRecord(),
            configVersion: this.options.configVersion(),
        });
        const uses = this.options.uses.all();
        if (uses.length > 0) frames.notify("routes.use", { uses });
        this.askForNodes(frames);
    }

    /** A record as it lies in the store; `undefined` when it was removed. */
    onStored(name: string, input: unknown): void {
        if (input !== undefined) {
            this.learn(input, "store");
            return;
        }
        const node = this.directory.get(name);
        // The record of a node that stops is removed while the node still answers; its link tells when it is gone.
        if (node !== undefined && !node.isLinked) this.directory.remove(name);
    }

    /** A peer has this version; if it is newer and the store does not bring it, it is fetched from the peer. */
    onVersion(node: KnownNode, version: number): void {
        if (version <= this.options.configVersion() || this.isFetching) return;
        this.isFetching = true;
        setTimeout(() => this.fetchConfig(node, version), FETCH_AFTER_MS);
    }

    private addRpcMethods(): void {
        this.rpcServer.addMethod("node.hello", (params: unknown) => this.onUpdate(params));
        this.rpcServer.addMethod("node.update", (params: unknown) => this.onUpdate(params));
        this.rpcServer.addMethod("routes.use", (params: unknown) => this.onUses(params));
        this.rpcServer.addMethod("nodes.list", () => [...this.directory.all()].map(node => node.record));
        this.rpcServer.addMethod(
            "config.fetch",
            () => this.options.encodedConfig()?.toString("base64") ?? "",
        );
    }

    /** A node that has found no others in the store asks the first that find it. */
    private askForNodes(frames: Greeted): void {
        const now = steadyNow();
        if (this.directory.size > FEW_NODES || now - this.askedForNodesAt < ASK_FOR_NODES_EVERY_MS) return;
        this.askedForNodesAt = now;
        frames.request("nodes.list", {}).then(
            list => {
                if (!Array.isArray(list)) return;
                for (const record of list) this.learn(record);
            },
            (err: unknown) => this.options.log.event("nodes-list-failed", { cause: String(err) }),
        );
    }

    private onUses(params: unknown): void {
        const result = v.safeParse(usesSchema, params);
        if (!result.success) return;
        for (const { route, services } of result.output.uses) this.options.uses.add(route, services);
    }

    private onUpdate(params: unknown): void {
        if (typeof params !== "object" || params === null) return;
        const { record, configVersion } = params as Readonly<Record<string, unknown>>;
        const node = this.learn(record, "itself");
        if (node !== undefined && typeof configVersion === "number") this.onVersion(node, configVersion);
    }

    private learn(input: unknown, source: RecordSource = "others"): KnownNode | undefined {
        const record = safeParseNodeRecord(input);
        if (record === undefined) {
            this.options.log.event("node-unreadable", {});
            return undefined;
        }
        if (record.name === this.options.name) return undefined;
        const hasChanged = this.directory.learn(record, source);
        const node = this.directory.get(record.name);
        if (hasChanged && node !== undefined) this.onChanged(node);
        return node;
    }

    private onChanged(node: KnownNode): void {
        const { name, target } = node.record;
        this.options.log.event("node", {
            name,
            target: target?.id,
            state: target?.state,
            service: target?.service,
        });
        this.links.get(node)?.retryNow();
    }

    private onAdded(node: KnownNode): void {
        this.options.onCount(this.directory.size);
        if (node.isLocalHost) {
            node.isLinked = true;
            return;
        }
        const link = new PeerLink({
            address: node.record.address,
            rpcServer: this.rpcServer,
            version: this.options.configVersion,
            onVersion: version => this.onVersion(node, version),
            onCutoff: cutoff => {
                node.cutoff = cutoff;
            },
            onUp: up => {
                node.isLinked = true;
                this.greet(up);
            },
            onDown: () => {
                node.isLinked = false;
                this.options.log.event("link-down", { name: node.record.name, pending: node.pending });
            },
        });
        this.links.set(node, link);
    }

    private onRemoved(node: KnownNode): void {
        this.options.onCount(this.directory.size);
        this.links.get(node)?.close();
        this.links.delete(node);
    }

    private fetchConfig(node: KnownNode, version: number): void {
        const link = this.links.get(node);
        if (version <= this.options.configVersion() || link === undefined) {
            this.isFetching = false;
            return;
        }
        link.request("config.fetch", {}).then(
            encoded => {
                this.isFetching = false;
                if (typeof encoded !== "string" || encoded === "") return;
                this.options.onConfig(Buffer.from(encoded, "base64"), node.record.name);
            },
            (err: unknown) => {
                this.isFetching = false;
                this.options.log.event("config-fetch-failed", { from: node.record.name, cause: String(err) });
            },
        );
    }
}
