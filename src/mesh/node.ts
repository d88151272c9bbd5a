/**
 * A node of the mesh: its listeners, the configuration in force, the registration of the local target, and the graceful
 * shutdown. Nodes discover each other through records in the control store, then send each other changes directly.
 */
import { HttpServer } from "../http/httpServer.ts";
import { MAX_LEVEL } from "../policy/admissionLevel.ts";
import { CutoffBroadcast } from "../policy/controlRate.ts";
import { RetryBudget } from "../policy/retryBudget.ts";
import { RouteCalls } from "../policy/routeCalls.ts";
import { RouteDependencyMap } from "../policy/routeDependencies.ts";
import type { StoreRole } from "../policy/storeRole.ts";
import { toServerLimits } from "./clientLimits.ts";
import { steadyNow } from "./clock.ts";
import { Counters } from "./counters.ts";
import { CrashGuard } from "./crashGuard.ts";
import { Forwarder } from "./forwarder.ts";
import { LatencySamples } from "./latencySamples.ts";
import { LoadLog } from "./loadLog.ts";
import { LocalTarget } from "./localTarget.ts";
import { safeParseNodeRecord } from "./nodeDirectory.ts";
import type { NodeDirectory } from "./nodeDirectory.ts";
import type { MeshNodeOptions } from "./nodeOptions.ts";
import { PauseDetector } from "./pauseDetector.ts";
import { Peers } from "./peers.ts";
import { PeerServer } from "./peerServer.ts";
import { Runner } from "./runner.ts";
import { isSameTarget } from "./targetRecords.ts";
import type { Announcement } from "./targetRegistration.ts";
import type { MeshConfig, NodeRecord, TargetRecord } from "./types.ts";

const TICK_MS = 100;
const TICKS_PER_SECOND = 10;
/** A stopping node runs at least this long, since clients send to it until two readiness checks have failed. */
const MIN_SHUTDOWN_MS = 2300;
/**
 * Share of the grace period in which a stopping node still accepts runs from other nodes, since its target keeps
 * running and can be reached only through this node. Accepted runs have the rest of the period to complete.
 */
const SHUTDOWN_PEER_RUNS_SHARE = 1 / 3;
/** Client requests that arrive later than this after the stop signal are refused: clients no longer send to the node. */
const SHUTDOWN_REFUSE_CLIENTS_AFTER_MS = 2900;
/** A stopping node accepts a request only if this many times the mean latency of its route is left. */
const LATENCY_MARGIN = 1.25;
/** A stopping node closes about this long before the end of the grace period, since the exit takes time. */
const SHUTDOWN_RESERVE_MS = 800;

export class MeshNode {
    readonly counters = new Counters();
    readonly latencies = new LatencySamples();
    readonly runner: Runner;
    private readonly crashGuard: CrashGuard;
    private readonly forwarder: Forwarder;
    private readonly clientServer: HttpServer;
    private readonly peers: Peers;
    private readonly peerServer: PeerServer;
    private readonly retryBudget: RetryBudget;
    private readonly localTarget: LocalTarget;
    private readonly routeDependencies = new RouteDependencyMap();
    private readonly routeCalls = new RouteCalls();
    private readonly pauseDetector = new PauseDetector(TICK_MS);
    private readonly cutoffBroadcast = new CutoffBroadcast(MAX_LEVEL);
    private config: MeshConfig | undefined;
    private service: string;
    private serial = 0;
    private stoppingSince: number | undefined;
    private stopPromise: Promise<void> | undefined;
    private isRefusingRuns = false;
    private refuseRunsTimer: NodeJS.Timeout | undefined;
    private ticks = 0;
    private tickTimer: NodeJS.Timeout | undefined;
    private readonly loadLog: LoadLog;
    /** This node's record as it was last read from the store or written to it. */
    private storedRecord: NodeRecord | undefined;

    constructor(private readonly options: MeshNodeOptions) {
        this.service = options.service;
        this.retryBudget = new RetryBudget(options.retryBudget, Infinity);
        this.crashGuard = new CrashGuard({
            name: options.name,
            log: options.log,
            broadcast: report => this.peers.broadcastCrashReport(report),
        });
        this.runner = new Runner({
            crashGuard: this.crashGuard,
            routeCalls: this.routeCalls,
            ...options.target,
            counters: this.counters,
            latencies: this.latencies,
            log: options.log,
            protocol: options.protocol,
            entryCutoffOf: service => this.forwarder.entryCutoffOf(service),
        });
        this.localTarget = new LocalTarget({
            address: `${options.target.host}:${options.target.port}`,
            healthPathOf: service => this.config?.services.get(service)?.healthPath,
            checkHealth: (path, onChecked) => this.runner.checkHealth(path, onChecked),
            onRecorded: previous => this.applyTargetRecord(previous),
            onSettled: hasEarlierProcess => this.retryBudget.grantSlack(steadyNow(), hasEarlierProcess),
        });
        this.loadLog = new LoadLog({
            log: options.log,
            counters: this.counters,
            loadReport: () => this.runner.loadReport(this.configVersion),
        });
        this.peers = new Peers({
            name: options.name,
            dataCentre: options.dataCentre,
            log: options.log,
            ownRecord: () => this.ownRecord(),
            configVersion: () => this.configVersion,
            encodedConfig: () => this.config?.encoded,
            onConfig: (encoded, from) => this.onConfig(encoded, from),
            dependencies: this.routeDependencies,
            routeCalls: this.routeCalls,
            onCrashReport: params => this.crashGuard.onReport(params),
            crashState: () => this.crashGuard.stateReport(),
            targetHistory: this.localTarget.history,
            onNodeCountChange: nodes => this.retryBudget.setNodeCount(nodes),
        });
        this.forwarder = new Forwarder({
            ownService: () => this.service,
            config: () => this.config,
            directory: this.peers.directory,
            runner: this.runner,
            retryBudget: this.retryBudget,
            crashGuard: this.crashGuard,
            counters: this.counters,
            latencies: this.latencies,
            log: options.log,
            sendToNode: (node, req, listener) => this.peers.send(node, req, listener),
            isRefusingClients: expectedMs => this.isRefusingClients(expectedMs),
            dependencies: this.routeDependencies,
            routeCalls: this.routeCalls,
            onNewDependency: dependency => this.peers.broadcastDependencies([dependency]),
            onConfigVersion: (node, version) => this.peers.onPeerConfigVersion(node, version),
        });
        this.clientServer = new HttpServer({
            ...options.outbound,
            handler: (req, respond, arrivedAt) => this.forwarder.handle(req, respond, arrivedAt),
            isPipelinable: head => this.forwarder.isIdempotent(head),
            pauseMs: () => this.pauseDetector.pauseMs(steadyNow()),
            onHandlerError: err => options.log.event("request-error", { cause: String(err) }),
            parseHead: options.protocol.parseRequest,
            limits: () => toServerLimits(this.config?.limits),
            isClosing: () => this.stoppingSince !== undefined,
        });
        this.peerServer = new PeerServer({
            ...options.peer,
            runner: this.runner,
            configVersion: () => this.configVersion,
            isRefusingRuns: () => this.isRefusingRuns,
            rpcServer: this.peers.rpcServer,
            onConnected: frameSocket => this.peers.onAccepted(frameSocket),
            onError: err => options.log.event("peer-error", { cause: String(err) }),
            pauseMs: () => this.pauseDetector.pauseMs(steadyNow()),
        });
    }

    get directory(): NodeDirectory {
        return this.peers.directory;
    }

    get configVersion(): number {
        return this.config?.version ?? 0;
    }

    /** Whether this node follows the store. */
    get storeRole(): StoreRole {
        return this.peers.storeRole();
    }

    get isReady(): boolean {
        return this.config !== undefined && this.stoppingSince === undefined;
    }

    /** Until a configuration has arrived, every service counts as known. */
    isKnownService(service: string): boolean {
        return this.config === undefined || this.config.services.has(service);
    }

    async start(): Promise<void> {
        this.directory.upsert(this.ownRecord());
        await Promise.all([this.clientServer.listen(), this.peerServer.listen()]);
        this.options.store.start({
            onConfig: encoded => this.onConfig(encoded, "store"),
            onNode: (name, record) => this.onStoredNode(name, record),
            onNodesRead: () => this.localTarget.history.onStoreRead(),
            onReachable: isReachable => this.peers.broadcastStoreReachable(isReachable),
            role: () => this.peers.storeRole(),
            hasConfig: () => this.config !== undefined,
        });
        this.tickTimer = setInterval(() => this.tick(), TICK_MS);
        this.options.log.unlimitedEvent("started", { service: this.service, peer: this.ownAddress });
    }

    setService(service: string): void {
        this.service = service;
    }

    onAnnouncement(announcement: Announcement): void {
        this.localTarget.onAnnouncement(announcement);
    }

    onTargetGone(id: string): void {
        this.localTarget.onDeregister(id);
    }

    /** Drains and closes the node; resolves before the grace period ends. All calls return the same promise. */
    stop(): Promise<void> {
        this.stopPromise ??= this.drainAndClose();
        return this.stopPromise;
    }

    private async drainAndClose(): Promise<void> {
        this.stoppingSince = steadyNow();
        this.options.log.unlimitedEvent("stopping", {
            active: this.forwarder.activeCount,
            runs: this.runner.activeCount,
        });
        this.refuseRunsTimer = setTimeout(
            () => this.startRefusingRuns(),
            this.options.graceMs * SHUTDOWN_PEER_RUNS_SHARE,
        );
        const { record, history } = this.localTarget;
        if (record?.state === "gone") this.publishToStore();
        // Until the history is settled, an earlier process may have stored that the target left; that must stay.
        else if (record === undefined && !history.isWaiting) {
            this.options.store.publish(this.options.name, undefined);
        }
        history.close();
        await this.waitUntilDrained();
        this.options.log.unlimitedEvent("stopped", {
            active: this.forwarder.activeCount,
            runs: this.runner.activeCount,
        });
        this.close();
    }

    /** Refuses other nodes' runs and tells them so, so that neither they nor this node choose its target. */
    private startRefusingRuns(): void {
        this.isRefusingRuns = true;
        this.broadcastRecord();
    }

    /** Whether client requests that take about `expectedMs` might outlast this stopping process. */
    private isRefusingClients(expectedMs: number): boolean {
        if (this.stoppingSince === undefined) return false;
        const elapsed = steadyNow() - this.stoppingSince;
        const leftMs = this.options.graceMs - SHUTDOWN_RESERVE_MS - elapsed;
        return elapsed > SHUTDOWN_REFUSE_CLIENTS_AFTER_MS || leftMs < expectedMs * LATENCY_MARGIN;
    }

    /** Resolves when idle, at the earliest after `MIN_SHUTDOWN_MS`, or `SHUTDOWN_RESERVE_MS` before the period ends. */
    private waitUntilDrained(): Promise<void> {
        return new Promise(resolve => {
            const timer = setInterval(() => {
                const elapsed = steadyNow() - this.stoppingSince!;
                const isIdle = this.forwarder.activeCount === 0 && this.runner.activeCount === 0
                    && this.clientServer.pendingCount === 0;
                const mustEnd = elapsed > this.options.graceMs - SHUTDOWN_RESERVE_MS;
                if (!mustEnd && !(isIdle && elapsed > MIN_SHUTDOWN_MS)) return;
                clearInterval(timer);
                resolve();
            }, 50);
        });
    }

    /** Closes all connections at once, except those on which the target still runs a non-idempotent request. */
    close(): void {
        if (this.tickTimer !== undefined) clearInterval(this.tickTimer);
        clearTimeout(this.refuseRunsTimer);
        this.clientServer.close();
        this.options.store.stop();
        this.localTarget.history.close();
        this.runner.close();
        this.peers.close();
        this.peerServer.close();
    }

    private tick(): void {
        const now = steadyNow();
        this.pauseDetector.tick(now);
        this.runner.tick(now);
        this.crashGuard.tick();
        this.peers.broadcastRouteCalls();
        this.broadcastCutoff(now);
        this.peers.tick(now);
        if (++this.ticks % TICKS_PER_SECOND !== 0) return;
        this.loadLog.write(now, this.localTarget.record);
        this.peerServer.tick(now);
        this.clientServer.checkTimeouts(now);
    }

    private broadcastCutoff(now: number): void {
        const { cutoffLevel } = this.runner;
        this.peers.setOwnCutoff(cutoffLevel);
        const isDue = this.cutoffBroadcast.isDue(cutoffLevel, this.directory.size, now);
        if (isDue) this.peerServer.broadcastCutoff(cutoffLevel);
    }

    /** Passes the target's current record to the runner. Sends and stores it if it differs from the previous one. */
    private applyTargetRecord(previous: TargetRecord | undefined): void {
        const { record } = this.localTarget;
        this.runner.setTarget(record);
        if (isSameTarget(previous, record)) return;
        this.options.log.unlimitedEvent("target", {
            id: record?.id,
            service: record?.service,
            state: record?.state,
        });
        this.broadcastRecord();
        this.publishToStore();
    }

    /** Sends this node's record with a new serial number to all connected nodes. */
    private broadcastRecord(): void {
        this.serial++;
        this.peers.broadcastOwnRecord();
    }

    /**
     * Stores this node's record if its address or target is new. A node that stops after its target has left stores that,
     * too: other nodes then forget it, but its next process needs to know, since the target may still run.
     */
    private publishToStore(): void {
        const target = this.localTarget.record;
        const isStopping = this.stoppingSince !== undefined;
        // A stopping node stores a target only if it is no longer ready, so that the next process does not restore it.
        if (isStopping && target?.state === "ready") return;
        const hasLeft = isStopping && target?.state === "gone" || undefined;
        const record = { ...this.ownRecord(), isRefusingRuns: undefined, hasLeft };
        const { storedRecord: stored } = this;
        const isStored = stored?.address === record.address && isSameTarget(stored.target, target)
            && stored.hasLeft === hasLeft;
        if (isStored) return;
        this.storedRecord = record;
        this.options.store.publish(this.options.name, record);
    }

    private get ownAddress(): string {
        return `${this.options.peer.host}:${this.options.peer.port}`;
    }

    private ownRecord(): NodeRecord {
        return {
            name: this.options.name,
            address: this.ownAddress,
            dataCentre: this.options.dataCentre,
            startedAt: this.options.startedAt,
            serial: this.serial,
            target: this.localTarget.record,
            isRefusingRuns: this.isRefusingRuns || undefined,
        };
    }

    private onStoredNode(name: string, input: unknown): void {
        if (name === this.options.name) this.onStoredOwnRecord(input);
        else this.peers.onStoredRecord(name, input);
    }

    /**
     * Handles the record that an earlier process of this node stored. If its write was executed late, after a write of
     * this process, the record of this process is stored again.
     */
    private onStoredOwnRecord(input: unknown): void {
        const record = safeParseNodeRecord(input);
        if (record?.name !== this.options.name || record.startedAt === this.options.startedAt) return;
        const isOverwritten = this.storedRecord !== undefined;
        this.storedRecord = record;
        this.localTarget.history.onStoredTarget(record.target);
        this.peers.requestOwnRecord();
        if (isOverwritten) this.publishToStore();
    }

    /** Applies a configuration unless it cannot be decoded or is not newer than the one in force. */
    applyConfig(encoded: Buffer): void {
        this.onConfig(encoded, "local");
    }

    private onConfig(encoded: Buffer, from: string): void {
        const result = this.options.decodeConfig(encoded);
        if (!result.success) {
            this.options.log.event("config-unreadable", { from, bytes: encoded.length, ...result.issue });
            return;
        }
        const { config } = result;
        if (this.config !== undefined && config.version <= this.config.version) return;
        this.config = config;
        this.forwarder.onNewConfig();
        if (from === "store") this.peerServer.broadcastConfigVersion(config.version);
        this.localTarget.history.onConfig();
        this.options.log.unlimitedEvent("config", {
            version: config.version,
            hosts: config.routesByHost.size,
            from,
        });
    }
}
