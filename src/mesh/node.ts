/**
 * A node of the mesh: its listeners, the configuration in force, the registration of the local target, and the graceful
 * shutdown. Nodes discover each other through records in the control store, then send each other changes directly.
 */
import { HttpServer } from "../http/httpServer.ts";
import { MAX_LEVEL } from "../policy/admissionLevel.ts";
import { CutoffBroadcast } from "../policy/controlRate.ts";
import { MemoryBudget } from "../policy/memoryBudget.ts";
import { RetryBudget } from "../policy/retryBudget.ts";
import { RouteCalls } from "../policy/routeCalls.ts";
import { RouteDependencyMap } from "../policy/routeDependencies.ts";
import type { StoreRole } from "../policy/storeRole.ts";
import { maxClientConnections, toServerLimits } from "./clientLimits.ts";
import { steadyNow } from "./clock.ts";
import { Counters } from "./counters.ts";
import { CrashGuard } from "./crashGuard.ts";
import { Forwarder } from "./forwarder.ts";
import { GracefulStop } from "./gracefulStop.ts";
import { LatencySamples } from "./latencySamples.ts";
import { LoadLog } from "./loadLog.ts";
import { LocalTarget } from "./localTarget.ts";
import type { NodeDirectory } from "./nodeDirectory.ts";
import type { MeshNodeOptions } from "./nodeOptions.ts";
import { PauseDetector } from "./pauseDetector.ts";
import { Peers } from "./peers.ts";
import { PeerServer } from "./peerServer.ts";
import { QUOTA_REPORT_METHOD, Quotas } from "./quotas.ts";
import { RecordPublisher } from "./recordPublisher.ts";
import { Runner } from "./runner.ts";
import { isSameTarget } from "./targetRecords.ts";
import type { Announcement } from "./targetRegistration.ts";
import type { MeshConfig, NodeRecord, TargetRecord } from "./types.ts";

const TICK_MS = 100;
const TICKS_PER_SECOND = 10;
export class MeshNode {
    readonly counters = new Counters();
    readonly latencies = new LatencySamples();
    readonly runner: Runner;
    readonly quotas: Quotas;
    readonly memory: MemoryBudget;
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
    private readonly gracefulStop: GracefulStop;
    private stopPromise: Promise<void> | undefined;
    private isRefusingRuns = false;
    private ticks = 0;
    private tickTimer: NodeJS.Timeout | undefined;
    private readonly loadLog: LoadLog;
    private readonly recordPublisher: RecordPublisher;

    constructor(private readonly options: MeshNodeOptions) {
        this.service = options.service;
        this.memory = new MemoryBudget(options.memoryMb);
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
            memory: this.memory,
            counters: this.counters,
            latencies: this.latencies,
            log: options.log,
            protocol: options.protocol,
            learnsCapacity: options.learnsCapacity,
            entryCutoffOf: service => this.forwarder.entryCutoffOf(service),
        });
        this.localTarget = new LocalTarget({
            address: `${options.target.host}:${options.target.port}`,
            healthPathOf: service => this.config?.services.get(service)?.healthPath,
            checkHealth: (path, onChecked) => this.runner.checkHealth(path, onChecked),
            onRecorded: previous => this.applyTargetRecord(previous),
            onSettled: hasEarlierProcess => {
                this.retryBudget.grantSlack(steadyNow(), hasEarlierProcess);
                this.quotas.onNodesKnown();
            },
        });
        this.gracefulStop = new GracefulStop({
            graceMs: options.graceMs,
            isIdle: () =>
                this.forwarder.activeCount === 0 && this.runner.activeCount === 0
                && this.clientServer.pendingCount === 0,
        });
        this.recordPublisher = new RecordPublisher({
            name: options.name,
            startedAt: options.startedAt,
            ownRecord: () => this.ownRecord(),
            isStopping: () => this.gracefulStop.isStopping,
            publish: record => options.store.publish(options.name, record),
            onEarlierRecord: ({ target }) => {
                this.localTarget.history.onStoredTarget(target);
                this.peers.requestOwnRecord();
            },
        });
        this.loadLog = new LoadLog({
            log: options.log,
            counters: this.counters,
            loadReport: () => this.runner.loadReport(this.configVersion),
        });
        this.peers = new Peers({
            memory: this.memory,
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
            onNodeCountChange: nodes => {
                this.retryBudget.setNodeCount(nodes);
                this.quotas.onNodesChanged();
            },
            storeEra: () => this.storeEra,
            onReportedEra: era => options.store.onReportedEra(era),
        });
        this.quotas = new Quotas({
            name: options.name,
            process: options.startedAt,
            bounds: options.quotaBounds,
            log: options.log,
            counters: this.counters,
            directory: this.peers.directory,
            accounts: () => this.config?.accounts?.all(),
            configVersion: () => this.configVersion,
            request: (node, method, params) => this.peers.request(node, method, params),
        });
        this.peers.rpcServer.addMethod(
            QUOTA_REPORT_METHOD,
            (params: unknown) => this.quotas.onReport(params),
        );
        this.forwarder = new Forwarder({
            ownService: () => this.service,
            accountNameField: options.protocol.names.accountName,
            config: () => this.config,
            directory: this.peers.directory,
            runner: this.runner,
            memory: this.memory,
            retryBudget: this.retryBudget,
            crashGuard: this.crashGuard,
            counters: this.counters,
            latencies: this.latencies,
            log: options.log,
            sendToNode: (node, req, listener) => this.peers.send(node, req, listener),
            isRefusingClients: expectedMs => this.gracefulStop.isRefusingClients(expectedMs),
            dependencies: this.routeDependencies,
            routeCalls: this.routeCalls,
            quotas: this.quotas,
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
            memory: this.memory,
            maxConnections: () =>
                maxClientConnections(options.maxFds, this.directory.size, this.runner.limit),
            onReleased: event => options.log.event("client-released", { ...event }),
            limits: () => toServerLimits(this.config?.limits),
            isClosing: () => this.gracefulStop.isStopping,
        });
        this.peerServer = new PeerServer({
            ...options.peer,
            memory: this.memory,
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

    /** Era of the store as this node has last read it; `undefined` if the store does not state it. */
    get storeEra(): number | undefined {
        return this.options.store.era;
    }

    /** Whether this node follows the store. */
    get storeRole(): StoreRole {
        return this.peers.storeRole();
    }

    get isReady(): boolean {
        return this.config !== undefined && !this.gracefulStop.isStopping;
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
            onNode: (name, record, mayBeOlder) => this.onStoredNode(name, record, mayBeOlder),
            departureSince: record => this.directory.departureSince(record),
            onNewEra: () => this.peers.broadcastStoreState(),
            onNodesRead: () => this.localTarget.history.onStoreRead(),
            onReachable: isReachable => this.peers.broadcastStoreState(isReachable),
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
        this.gracefulStop.begin(() => this.startRefusingRuns());
        this.options.log.unlimitedEvent("stopping", {
            active: this.forwarder.activeCount,
            runs: this.runner.activeCount,
        });
        const { record, history } = this.localTarget;
        if (record?.state === "gone") this.recordPublisher.publish();
        // Until the history is settled, an earlier process may have stored that the target left; that must stay.
        else if (record === undefined && !history.isWaiting) {
            this.options.store.publish(this.options.name, undefined);
        }
        history.close();
        await this.gracefulStop.waitUntilDrained();
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

    /** Closes all connections at once, except those on which the target still runs a non-idempotent request. */
    close(): void {
        if (this.tickTimer !== undefined) clearInterval(this.tickTimer);
        this.gracefulStop.close();
        this.clientServer.close();
        this.options.store.stop();
        this.localTarget.history.close();
        this.runner.close();
        this.quotas.close();
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
        this.clientServer.relieveMemory(now);
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
        this.recordPublisher.publish();
    }

    /** Sends this node's record with a new serial number to all connected nodes. */
    private broadcastRecord(): void {
        this.serial++;
        this.peers.broadcastOwnRecord();
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
            hasLeft: this.isRefusingRuns && this.localTarget.record?.state === "gone" || undefined,
        };
    }

    private onStoredNode(name: string, input: unknown, mayBeOlder: boolean): void {
        if (name === this.options.name) this.recordPublisher.onStored(input);
        else this.peers.onStoredRecord(name, input, mayBeOlder);
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
        this.quotas.onConfig();
        if (from === "store") this.peerServer.broadcastConfigVersion(config.version);
        this.localTarget.history.onConfig();
        this.options.log.unlimitedEvent("config", {
            version: config.version,
            hosts: config.routesByHost.size,
            from,
        });
    }
}
