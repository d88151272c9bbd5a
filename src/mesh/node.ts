/**
 * A node of the mesh: its listeners, what it knows of other nodes and of the configuration, and its orderly stop.
 * Nodes find each other through records in the store and then tell each other directly what changes.
 */
import { JSONRPCServer } from "json-rpc-2.0";
import { LeanServer } from "../http/leanServer.ts";
import { RetryBudget } from "../policy/retryBudget.ts";
import type { RetryBudgetOptions } from "../policy/retryBudget.ts";
import { steadyNow } from "./clock.ts";
import type { ControlStore } from "./controlStore.ts";
import { Counters } from "./counters.ts";
import { Directory, safeParseNodeRecord } from "./directory.ts";
import type { KnownNode } from "./directory.ts";
import type { EventLog } from "./eventLog.ts";
import { Forwarder } from "./forwarder.ts";
import type { FrameSocket } from "./frameSocket.ts";
import { PeerLink } from "./peerLink.ts";
import { PeerServer } from "./peerServer.ts";
import { Runner } from "./runner.ts";
import { TargetRegister } from "./targetRegister.ts";
import type { Announcement } from "./targetRegister.ts";
import type { ClientLimits, MeshConfig, NodeRecord, TargetRecord } from "./types.ts";

export interface HostPort {
    readonly host: string;
    readonly port: number;
}

export interface MeshNodeOptions {
    readonly name: string;
    readonly dataCentre: string;
    readonly service: string;
    /** Listener for clients on this host and for the calls of the target. */
    readonly outbound: HostPort;
    readonly peer: HostPort;
    readonly target: HostPort;
    readonly retryBudget: RetryBudgetOptions;
    /** Time from the stop signal after which the process is ended from outside. */
    readonly graceMs: number;
    readonly store: ControlStore;
    readonly decodeConfig: (encoded: Buffer) => MeshConfig | undefined;
    readonly log: EventLog;
    /** Unix time in ms. */
    readonly startedAt: number;
}

const TICK_MS = 100;
const TICKS_PER_SECOND = 10;
const DEFAULT_LIMITS: ClientLimits = {
    maxHeaderBytes: 16 * 1024,
    maxBodyBytes: 64 * 1024 * 1024,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
};
/** Time for the store to bring a configuration that a peer already has. */
const FETCH_AFTER_MS = 300;
/** After a stop signal, clients may still send for this long: they leave only when readiness has failed twice. */
const STOP_LINGER_MS = 2300;
/** Time left before the end of the grace period at which the process ends whatever is in progress. */
const STOP_RESERVE_MS = 300;
const PEERS_EVERY_MS = 500;

export class MeshNode {
    readonly counters = new Counters();
    readonly directory: Directory;
    readonly runner: Runner;
    private readonly forwarder: Forwarder;
    private readonly clients: LeanServer;
    private readonly peers: PeerServer;
    private readonly links = new Map<KnownNode, PeerLink>();
    private readonly budget: RetryBudget;
    private readonly rpcServer = new JSONRPCServer();
    private readonly register: TargetRegister;
    private config: MeshConfig | undefined;
    private service: string;
    private serial = 0;
    private stoppingSince: number | undefined;
    private ticks = 0;
    private tickTimer: NodeJS.Timeout | undefined;
    private isFetching = false;
    private askedPeersAt = -Infinity;
    private earlierTarget: TargetRecord | undefined;

    constructor(private readonly options: MeshNodeOptions) {
        this.service = options.service;
        this.register = new TargetRegister(`${options.target.host}:${options.target.port}`);
        this.budget = new RetryBudget(options.retryBudget);
        this.runner = new Runner({ ...options.target, counters: this.counters });
        this.directory = new Directory({
            name: options.name,
            dataCentre: options.dataCentre,
            onAdded: node => this.onNodeAdded(node),
            onRemoved: node => this.onNodeRemoved(node),
        });
        this.forwarder = new Forwarder({
            service: () => this.service,
            config: () => this.config,
            directory: this.directory,
            runner: this.runner,
            budget: this.budget,
            counters: this.counters,
            log: options.log,
            sendTo: (node, req, onOutcome) => {
                const link = this.links.get(node)!;
                const stream = link.send(req, onOutcome);
                return () => link.cancel(stream);
            },
            onConfigVersion: (node, version) => this.onPeerVersion(node, version),
        });
        this.clients = new LeanServer({
            ...options.outbound,
            handler: (req, reply) => this.forwarder.handle(req, reply),
            limits: () => toServerLimits(this.config?.limits ?? DEFAULT_LIMITS),
            isClosing: () => this.stoppingSince !== undefined,
        });
        this.peers = new PeerServer({
            ...options.peer,
            runner: this.runner,
            configVersion: () => this.configVersion,
            isStopping: () => this.stoppingSince !== undefined,
            rpcServer: this.rpcServer,
            onUp: frames => this.greet(frames),
        });
        this.addRpcMethods();
    }

    get configVersion(): number {
        return this.config?.version ?? 0;
    }

    get isReady(): boolean {
        return this.config !== undefined && this.stoppingSince === undefined;
    }

    /** Before a configuration is known, every service may exist. */
    isKnownService(service: string): boolean {
        return this.config === undefined || this.config.services.has(service);
    }

    async start(): Promise<void> {
        this.directory.learn(this.ownRecord());
        await Promise.all([this.clients.listen(), this.peers.listen()]);
        this.options.store.start({
            onConfig: encoded => this.onConfig(encoded, "store"),
            onNode: (name, record) => this.onStoredNode(name, record),
        });
        this.tickTimer = setInterval(() => this.tick(), TICK_MS);
        this.options.log.change("started", { service: this.service, peer: this.ownAddress });
    }

    setService(service: string): void {
        this.service = service;
    }

    /** An announcement of the target beside this node. */
    announce(announcement: Announcement): void {
        const before = this.register.record;
        if (!this.register.announce(announcement)) return;
        this.onTargetRecord(before);
    }

    leave(id: string): void {
        const before = this.register.record;
        if (this.register.leave(id)) this.onTargetRecord(before);
    }

    /** Stops in order: takes no new work, ends what is in progress, then resolves. */
    async stop(): Promise<void> {
        if (this.stoppingSince !== undefined) return;
        this.stoppingSince = steadyNow();
        this.options.log.change("stopping", {
            active: this.forwarder.activeCount,
            runs: this.runner.activeCount,
        });
        this.publishChange();
        this.options.store.publish(this.options.name, undefined);
        await this.whenDone();
        this.options.log.change("stopped", {
            active: this.forwarder.activeCount,
            runs: this.runner.activeCount,
        });
        this.close();
    }

    private whenDone(): Promise<void> {
        return new Promise(resolve => {
            const timer = setInterval(() => {
                const elapsed = steadyNow() - this.stoppingSince!;
                const isIdle = this.forwarder.activeCount === 0 && this.runner.activeCount === 0;
                const mustEnd = elapsed > this.options.graceMs - STOP_RESERVE_MS;
                if (!mustEnd && !(isIdle && elapsed > STOP_LINGER_MS)) return;
                clearInterval(timer);
                resolve();
            }, 50);
        });
    }

    /** Ends at once: connections are closed, whatever is in progress. */
    close(): void {
        if (this.tickTimer !== undefined) clearInterval(this.tickTimer);
        this.clients.close();
        this.options.store.stop();
        this.runner.close();
        for (const link of this.links.values()) link.close();
        this.peers.close();
    }

    private tick(): void {
        const now = steadyNow();
        this.runner.tick(now);
        for (const link of this.links.values()) link.tick(now);
        if (++this.ticks % TICKS_PER_SECOND !== 0) return;
        this.peers.tick(now);
        this.clients.checkTimeouts(now);
    }

    private onTargetRecord(before: TargetRecord | undefined): void {
        const { record } = this.register;
        this.runner.setTarget(record);
        if (isSameTarget(before, record)) return;
        this.options.log.change("target", { id: record?.id, service: record?.service, state: record?.state });
        this.publishChange();
        if (this.stoppingSince === undefined) this.options.store.publish(this.options.name, this.ownRecord());
    }

    /** Tells all known nodes what has changed here. */
    private publishChange(): void {
        this.serial++;
        const record = this.ownRecord();
        this.directory.learn(record);
        const update = { record, configVersion: this.configVersion };
        for (const link of this.links.values()) link.notify("node.update", update);
    }

    private get ownAddress(): string {
        return `${this.options.peer.host}:${this.options.peer.port}`;
    }

    private ownRecord(): NodeRecord {
        const { record } = this.register;
        const isStopping = this.stoppingSince !== undefined;
        return {
            name: this.options.name,
            address: this.ownAddress,
            dataCentre: this.options.dataCentre,
            startedAt: this.options.startedAt,
            serial: this.serial,
            target: record !== undefined && isStopping ? { ...record, state: "draining" } : record,
        };
    }

    private addRpcMethods(): void {
        this.rpcServer.addMethod("node.hello", (params: unknown) => this.onUpdate(params));
        this.rpcServer.addMethod("node.update", (params: unknown) => this.onUpdate(params));
        this.rpcServer.addMethod("nodes.list", () => [...this.directory.all()].map(node => node.record));
        this.rpcServer.addMethod("config.fetch", () => this.config?.encoded.toString("base64") ?? "");
    }

    private greet(frames: Pick<FrameSocket, "notify" | "request">): void {
        frames.notify("node.hello", { record: this.ownRecord(), configVersion: this.configVersion });
        this.askForNodes(frames);
    }

    /** A node that has found no others in the store asks the first that find it. */
    private askForNodes(frames: Pick<FrameSocket, "request">): void {
        const now = steadyNow();
        if (this.directory.size > 2 || now - this.askedPeersAt < PEERS_EVERY_MS) return;
        this.askedPeersAt = now;
        frames.request("nodes.list", {}).then(
            list => {
                if (!Array.isArray(list)) return;
                for (const record of list) this.onNodeRecord(record);
            },
            () => undefined,
        );
    }

    private onUpdate(params: unknown): void {
        if (typeof params !== "object" || params === null) return;
        const { record, configVersion } = params as Readonly<Record<string, unknown>>;
        const node = this.onNodeRecord(record, { isFirstHand: true });
        if (node !== undefined && typeof configVersion === "number") this.onPeerVersion(node, configVersion);
    }

    private onNodeRecord(input: unknown, { isFirstHand = false } = {}): KnownNode | undefined {
        const record = safeParseNodeRecord(input);
        if (record === undefined || record.name === this.options.name) return undefined;
        const changed = this.directory.learn(record, { isFirstHand });
        const node = this.directory.get(record.name);
        if (changed && node !== undefined) {
            this.options.log.event("node", {
                name: record.name,
                target: record.target?.id,
                state: record.target?.state,
                service: record.target?.service,
            });
            this.links.get(node)?.retryNow();
        }
        return node;
    }

    private onStoredNode(name: string, input: unknown): void {
        if (name === this.options.name) {
            this.onOwnRecord(input);
            return;
        }
        if (input !== undefined) {
            this.onNodeRecord(input, { isFirstHand: true });
            return;
        }
        const node = this.directory.get(name);
        // The record of a node that stops is removed while the node still answers; its link tells when it is gone.
        if (node !== undefined && !node.isLinked) this.directory.remove(name);
    }

    /** The record of an earlier process of this node: its target may be used again before its next heartbeat. */
    private onOwnRecord(input: unknown): void {
        const record = safeParseNodeRecord(input);
        if (record === undefined || record.startedAt === this.options.startedAt) return;
        this.earlierTarget = record.target?.state === "ready" ? record.target : undefined;
        this.restoreTarget();
    }

    private restoreTarget(): void {
        const target = this.earlierTarget;
        const service = target === undefined ? undefined : this.config?.services.get(target.service);
        if (target === undefined || service === undefined || this.register.record !== undefined) return;
        this.earlierTarget = undefined;
        this.runner.probe(service.healthPath, healthyId => {
            if (healthyId !== target.id || this.stoppingSince !== undefined) return;
            if (this.register.restore(target)) this.onTargetRecord(undefined);
        });
    }

    private onNodeAdded(node: KnownNode): void {
        this.budget.setNodes(this.directory.size);
        if (node.isLocalHost) {
            node.isLinked = true;
            return;
        }
        const link = new PeerLink({
            address: node.record.address,
            rpcServer: this.rpcServer,
            onUp: up => {
                node.isLinked = true;
                this.greet(up);
            },
            version: () => this.configVersion,
            onVersion: version => this.onPeerVersion(node, version),
            onDown: () => {
                node.isLinked = false;
                this.options.log.event("link-down", { name: node.record.name, pending: node.pending });
            },
        });
        this.links.set(node, link);
    }

    private onNodeRemoved(node: KnownNode): void {
        this.budget.setNodes(this.directory.size);
        this.links.get(node)?.close();
        this.links.delete(node);
    }

    private onPeerVersion(node: KnownNode, version: number): void {
        if (version <= this.configVersion || this.isFetching) return;
        this.isFetching = true;
        setTimeout(() => this.fetchConfig(node, version), FETCH_AFTER_MS);
    }

    private fetchConfig(node: KnownNode, version: number): void {
        const link = this.links.get(node);
        if (version <= this.configVersion || link === undefined) {
            this.isFetching = false;
            return;
        }
        link.request("config.fetch", {}).then(
            encoded => {
                this.isFetching = false;
                if (typeof encoded === "string" && encoded !== "") {
                    this.onConfig(Buffer.from(encoded, "base64"), node.record.name);
                }
            },
            () => {
                this.isFetching = false;
            },
        );
    }

    /** Puts a configuration into force unless it is unreadable or not newer. */
    applyConfig(encoded: Buffer): void {
        this.onConfig(encoded, "local");
    }

    private onConfig(encoded: Buffer, from: string): void {
        const config = this.options.decodeConfig(encoded);
        if (config === undefined) {
            this.options.log.event("config-unreadable", { from, bytes: encoded.length });
            return;
        }
        if (this.config !== undefined && config.version <= this.config.version) return;
        this.config = config;
        this.forwarder.onNewConfig();
        this.restoreTarget();
        this.options.log.change("config", { version: config.version, hosts: config.hosts.size, from });
    }
}

function isSameTarget(one: TargetRecord | undefined, other: TargetRecord | undefined): boolean {
    return one?.id === other?.id && one?.service === other?.service && one?.state === other?.state
        && one?.slots === other?.slots;
}

function toServerLimits(limits: ClientLimits): {
    maxHeadBytes: number;
    maxBodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
} {
    return {
        maxHeadBytes: limits.maxHeaderBytes,
        maxBodyBytes: limits.maxBodyBytes,
        headerTimeoutMs: limits.headerTimeoutMs,
        idleTimeoutMs: limits.idleTimeoutMs,
    };
}
