/**
 * Simulates the nodes, targets and callers of a `Setting` in virtual time under a variable load, and collects the
 * result of each request.
 */
import type { FakeNode } from "../test/fakes/fakeNode.ts";
import type { CallResult } from "../test/fakes/world.ts";
import { World } from "../test/fakes/world.ts";
import { createBaseline } from "./baselines.ts";
import type { KindSetting, Setting } from "./settings.ts";
import { capacityOf, configurationOf, findService } from "./settings.ts";

/** The system under test, and the two baselines for comparison. */
export const systems = ["filbertspool", "no-control", "static-limit"] as const;
export type System = typeof systems[number];

export interface SentRequest {
    readonly kindSetting: KindSetting;
    readonly requestId: string;
    readonly at: number;
    endedAt?: number;
    /** Whether the request got status 200 within the deadline of its kind. */
    ok: boolean;
    result?: CallResult;
    /** Attempts that nodes sent for the request and for the downstream calls of its targets. */
    attempts: number;
    /** Service time that targets spent on the request. */
    workMs: number;
}

export interface SimulationOptions {
    readonly setting: Setting;
    readonly seed: number;
    readonly system?: System;
    /**
     * Number of times that a caller ("client" in scenario files) retries a failed request, each after a fixed delay
     * regardless of Retry-After.
     */
    readonly clientRetries?: number;
}

/** Long enough for all nodes of a service to join one after another. */
const JOIN_MS = 20_000;
const CLIENT_RETRY_DELAY_MS = 50;
const REMOTE_DELAY_MS = 1;

export class Simulation {
    readonly world: World;
    readonly setting: Setting;
    readonly sent: SentRequest[] = [];
    /** Number of refusals by reason. */
    readonly refusals = new Map<string, number>();
    /** Time at which load can start. */
    readonly startedAt: number;
    totalWorkMs = 0;
    /**
     * Retries of all calls of a request, by request id. Transparent retries, which follow a refusal due to the state of
     * a node, are not counted.
     */
    readonly retryCounts = new Map<string, number>();
    /**
     * Largest excess of the retries of a request over the allowance of its kind; at most 0 if none exceeded it, and
     * -Infinity without retries.
     */
    maxExcessRetries = -Infinity;
    clientRetries: number;
    /** Offered load as a multiple of the bottleneck's capacity. */
    load = 0;
    /** By request id. Each retry by the caller has an id of its own. */
    private readonly byId = new Map<string, SentRequest>();
    /** Nodes that have counted a transparent retry and are about to send its attempt. */
    private readonly nodesRetryingTransparently = new Set<FakeNode>();

    constructor(opts: SimulationOptions) {
        const { setting } = opts;
        this.setting = setting;
        this.clientRetries = opts.clientRetries ?? 0;
        const system = opts.system ?? "filbertspool";
        const baseline = system === "filbertspool" ? undefined : createBaseline({
            kinds: setting.kinds.map(({ kind }) => kind),
            members: () => this.world.nodes.map(node => node.member),
            retries: 3,
            ...(system === "static-limit"
                ? { limitOf: service => findService(setting, service).slots, budget: 0.1 }
                : { limitOf: service => findService(setting, service).connections, queueLimit: 0 }),
        });
        this.world = new World({
            seed: opts.seed,
            ...(baseline === undefined ? {} : { reduce: baseline }),
            remoteDelayMs: REMOTE_DELAY_MS,
            onCount: (node, counter, label) => this.onCount(node, counter, label),
        });
        for (const service of setting.services) this.addService(service.name);
        this.world.appendToLog({
            type: "config",
            id: "v1",
            base: "none",
            author: "simulation",
            configuration: configurationOf(setting),
        });
        this.world.run(JOIN_MS);
        this.startedAt = this.world.now;
        this.scheduleNextRequest();
    }

    nodesOf(service: string): readonly FakeNode[] {
        return this.world.nodes.filter(node => node.member.service === service);
    }

    private addService(name: string): void {
        const { instances, slots, serviceMs, calls } = findService(this.setting, name);
        const { dataCentres } = this.setting;
        for (let i = 0; i < instances; i++) {
            const dataCentre = dataCentres[i % dataCentres.length]!;
            const node = this.world.addNode({
                service: name,
                dataCentre,
                target: { slots, serviceMs, callsByKind: calls },
            });
            node.target.onWork = (task, workMs) => {
                this.totalWorkMs += workMs;
                const sent = this.byId.get(task.requestId);
                if (sent !== undefined) sent.workMs += workMs;
            };
            node.onEffect = effect => {
                if (effect.type !== "send_attempt") return;
                const sent = this.byId.get(effect.ctx.requestId);
                if (sent === undefined) return;
                sent.attempts += 1;
                if (effect.attempt === 0 || this.nodesRetryingTransparently.delete(node)) return;
                const retries = (this.retryCounts.get(effect.ctx.requestId) ?? 0) + 1;
                this.retryCounts.set(effect.ctx.requestId, retries);
                this.maxExcessRetries = Math.max(
                    this.maxExcessRetries,
                    retries - sent.kindSetting.kind.retries,
                );
            };
        }
    }

    private onCount(node: FakeNode, counter: string, label: string): void {
        if (counter === "redirects") this.nodesRetryingTransparently.add(node);
        if (counter !== "refusals") return;
        this.refusals.set(label, (this.refusals.get(label) ?? 0) + 1);
    }

    /** Sends a request after an exponentially distributed interval of at most 50 ms, and schedules the next one. */
    private scheduleNextRequest(): void {
        const { scheduler } = this.world;
        const rate = this.load * capacityOf(this.setting);
        if (rate === 0) return scheduler.after(10, () => this.scheduleNextRequest());
        scheduler.after(Math.min(50, scheduler.exponential(1_000 / rate)), () => {
            if (this.load > 0) this.send(this.pickKind());
            this.scheduleNextRequest();
        });
    }

    private pickKind(): KindSetting {
        let remaining = this.world.scheduler.random();
        return this.setting.kinds.find(kind => (remaining -= kind.share) < 0) ?? this.setting.kinds[0]!;
    }

    send(kind: KindSetting): SentRequest {
        const { scheduler } = this.world;
        const sent: SentRequest = {
            kindSetting: kind,
            requestId: this.world.randomHex(32),
            at: this.world.now,
            ok: false,
            attempts: 0,
            workMs: 0,
        };
        this.sent.push(sent);
        this.byId.set(sent.requestId, sent);
        const sendOnce = (requestId: string, retriesLeft: number) => {
            const nodes = this.nodesOf(kind.entry).filter(node => node.alive);
            const node = nodes[Math.floor(scheduler.random() * nodes.length)];
            if (node === undefined) return;
            const done = (result: CallResult) => {
                scheduler.after(this.setting.callerDelayMs, () => {
                    sent.result = result;
                    sent.endedAt = this.world.now;
                    const latencyMs = this.world.now - sent.at;
                    sent.ok = result.type === "answered" && result.status === 200
                        && latencyMs <= kind.kind.deadlineMs;
                    if (sent.ok || retriesLeft === 0 || latencyMs >= kind.kind.deadlineMs) return;
                    const nextRequestId = this.world.randomHex(32);
                    this.byId.set(nextRequestId, sent);
                    scheduler.after(CLIENT_RETRY_DELAY_MS, () => sendOnce(nextRequestId, retriesLeft - 1));
                });
            };
            const key = kind.kind.nonIdempotent ? { key: sent.requestId } : {};
            scheduler.after(
                this.setting.callerDelayMs,
                () => this.world.request(node, kind.kind.name, done, { requestId, ...key }),
            );
        };
        sendOnce(sent.requestId, this.clientRetries);
        return sent;
    }
}
