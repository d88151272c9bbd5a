/** A node of a simulated world: holds the reducer state and performs the effects on the fakes. */
import type { Effect } from "../../src/effects.ts";
import type { EventBody } from "../../src/events.ts";
import { createNodeState } from "../../src/initialState.ts";
import type { PeerResponse } from "../../src/peerMessages.ts";
import type { NodeState } from "../../src/state.ts";
import type { LoadReport, Member, Outcome } from "../../src/types.ts";
import { assertNever, notRun, unknown } from "../../src/types.ts";
import { FakeTarget } from "./fakeTarget.ts";
import { DATAGRAM_ENVELOPE_BYTES, RPC_ENVELOPE_BYTES, Traffic } from "./traffic.ts";
import type { CallResult, NewRequest, NodeSpec, World } from "./world.ts";

type EffectOf<T extends Effect["type"]> = Extract<Effect, { readonly type: T; }>;
type Respond = (outcome: Outcome, retriesLeft: number, load: LoadReport) => void;

interface PendingRun {
    readonly requestId: string;
    readonly kind: string;
    readonly key?: string | undefined;
    readonly respond: Respond;
    status?: number;
    cancel?: () => void;
}

const LOG_DELAY_MS = 2;
const WAKE_GRANULARITY_MS = 10;
const APPEND_TIMEOUT_MS = 1_000;
const CONNECTION_LOSS_DELAY_MS = 10;
const ANNOUNCE_PERIOD_MS = 2_000;

export class FakeNode {
    alive = true;
    paused = false;
    state: NodeState;
    readonly target: FakeTarget;
    /** Called with each effect before it is performed. */
    onEffect: (effect: Effect) => void = () => undefined;
    readonly counts = new Map<string, number>();
    readonly member: Member;
    readonly traffic = new Traffic();
    private readonly world: World;
    private nextId = 1;
    private readonly wakes = new Set<number>();
    private readonly callbacks = new Map<number, (result: CallResult) => void>();
    private readonly attempts = new Map<string, { cancel: () => void; status?: number; }>();
    private readonly runs = new Map<number, PendingRun>();
    private readonly connectionLossHandlers = new Map<number, () => void>();
    private readonly pendingRpcs = new Map<number, (response: PeerResponse) => void>();
    private readonly deferredActions: (() => void)[] = [];

    constructor(world: World, member: Member, spec: NodeSpec) {
        this.world = world;
        this.member = member;
        const state = createNodeState({ self: member, joinAddresses: spec.joinAddresses ?? [] });
        this.state = spec.prepare?.(state) ?? state;
        const callDownstream: ConstructorParameters<typeof FakeTarget>[1]["callDownstream"] = (
            service,
            task,
            done,
        ) => {
            this.startCall({ from: "egress", service, requestId: task.requestId, kind: task.kind }, res => {
                done(res.type === "answered" ? res.status : 503);
            });
        };
        this.target = new FakeTarget(world.scheduler, { ...spec.target, callDownstream }, () => {
            this.dispatch({ type: "target_lost" });
        });
    }

    start(): void {
        this.dispatch({ type: "wake" });
        this.announce();
    }

    private announce(): void {
        if (!this.alive) return;
        if (this.target.alive) {
            this.dispatch({
                type: "target_announced",
                address: { host: "127.0.0.1", port: this.member.address.port },
            });
        }
        this.world.scheduler.after(ANNOUNCE_PERIOD_MS, () => this.announce());
    }

    /** Ends the node's process immediately; its target keeps running. */
    kill(): void {
        this.alive = false;
        for (const [run, lost] of this.connectionLossHandlers) {
            if (this.runs.has(run)) this.world.scheduler.after(CONNECTION_LOSS_DELAY_MS, lost);
        }
        this.connectionLossHandlers.clear();
    }

    killHost(): void {
        this.kill();
        this.target.crash();
    }

    pause(): void {
        this.paused = true;
    }

    resume(): void {
        this.paused = false;
        for (const action of this.deferredActions.splice(0)) action();
    }

    drain(): void {
        this.dispatch({ type: "drain_requested", source: "signal" });
    }

    /** Performs an action now, or after the node has resumed. */
    whenRunning(action: () => void): void {
        if (this.paused) this.deferredActions.push(action);
        else if (this.alive) action();
    }

    startCall(req: NewRequest, done: (result: CallResult) => void): number {
        const call = this.nextId++;
        this.callbacks.set(call, done);
        this.dispatch({
            ...req,
            type: "call_started",
            call,
            hasBufferedBody: true,
            fingerprint: `${req.service} ${req.key ?? req.requestId}`,
            tracked: true,
        });
        return call;
    }

    dispatch(event: EventBody): void {
        this.whenRunning(() => {
            const stamped = { ...event, now: this.world.now, rand: this.world.scheduler.random() };
            const { state, effects } = this.world.reduce(this.state, stamped);
            this.state = state;
            for (const effect of effects) this.perform(effect);
        });
    }

    private perform(effect: Effect): void {
        if (!this.alive) return;
        this.onEffect(effect);
        switch (effect.type) {
            case "send_attempt":
                return this.sendAttempt(effect);
            case "cancel_attempt":
                return this.attempts.get(`${effect.call}/${effect.attempt}`)?.cancel();
            case "relay_answer":
                return this.relayAnswer(effect);
            case "refuse_call":
                return this.completeCall(effect.call, effect.outcome);
            case "forward_run":
                return this.forwardRun(effect);
            case "cancel_run":
                return this.cancelRun(effect.run);
            case "refuse_run":
                return this.completeRun(effect.run, effect.outcome, effect.retriesLeft, effect.load);
            case "relay_run":
                return this.runs.get(effect.run)?.respond(
                    { type: "ran", status: this.runs.get(effect.run)?.status ?? 200 },
                    effect.retriesLeft,
                    effect.load,
                );
            case "replay_run":
                return this.completeRun(
                    effect.run,
                    { type: "ran", status: effect.response.status },
                    effect.retriesLeft,
                    effect.load,
                );
            case "read_log":
                return this.readLog(effect);
            case "append":
                return this.append(effect);
            case "send_datagram":
                return this.sendDatagram(effect);
            case "send_rpc":
                return this.sendRpc(effect);
            case "answer_rpc":
                this.pendingRpcs.get(effect.token)?.(effect.response);
                this.pendingRpcs.delete(effect.token);
                return;
            case "wake_at":
                return this.scheduleWake(effect.at);
            case "exit":
                return this.kill();
            case "count": {
                const name = `${effect.counter}.${effect.label}`;
                this.counts.set(name, (this.counts.get(name) ?? 0) + (effect.by ?? 1));
                return this.world.opts.onCount?.(this, effect.counter, effect.label);
            }
            case "log":
                return;
            default:
                return assertNever(effect);
        }
    }

    /** Schedules a wake at the requested time, rounded up to the granularity of the runtime's timer. */
    private scheduleWake(at: number): void {
        const time = Math.ceil(at / WAKE_GRANULARITY_MS) * WAKE_GRANULARITY_MS;
        if (this.wakes.has(time)) return;
        this.wakes.add(time);
        this.world.scheduler.after(time - this.world.now, () => {
            this.wakes.delete(time);
            this.dispatch({ type: "wake" });
        });
    }

    private completeCall(call: number, result: CallResult): void {
        const done = this.callbacks.get(call);
        this.callbacks.delete(call);
        done?.(result);
    }

    private sendAttempt(effect: EffectOf<"send_attempt">): void {
        const { call, attempt, ctx } = effect;
        const attemptKey = `${call}/${attempt}`;
        const respond = (outcome: Outcome, retriesLeft: number, load?: LoadReport) => {
            const pending = this.attempts.get(attemptKey);
            if (pending !== undefined && outcome.type === "ran") pending.status = outcome.status;
            this.dispatch({ type: "attempt_answered", call, attempt, outcome, retriesLeft, load });
        };
        this.attempts.set(attemptKey, { cancel: () => undefined });
        if (effect.member.id === this.member.id) {
            const run = this.startRun(effect, respond);
            this.attempts.get(attemptKey)!.cancel = () => this.dispatch({ type: "run_cancelled", run });
            return;
        }
        this.world.connect(this, effect.member, peer => {
            const run = peer.startRun(effect, (outcome, retriesLeft, load) => {
                this.world.deliver(peer, this, () => respond(outcome, retriesLeft, load));
            });
            peer.onConnectionLost(
                run,
                () => this.world.deliver(this, this, () => respond(unknown("connection-lost"), 0)),
            );
            this.attempts.get(attemptKey)!.cancel = () => {
                this.world.deliver(this, peer, () => peer.dispatch({ type: "run_cancelled", run }));
            };
        }, () => this.whenRunning(() => respond(notRun("connect-failed"), ctx.retries)));
    }

    /** Starts a run for another node or for this one. */
    startRun(effect: EffectOf<"send_attempt">, respond: Respond): number {
        const run = this.nextId++;
        const { requestId, kind, key } = effect.ctx;
        // A caller's key implies the same content. A minted key may differ between attempts, the request id does not.
        const content = key?.startsWith("entry:") ? key : requestId;
        this.runs.set(run, { requestId, kind, key, respond });
        this.dispatch({
            type: "run_started",
            run,
            ctx: effect.ctx,
            fingerprint: `${this.member.service} ${content}`,
        });
        return run;
    }

    /** Calls back if this node ends while the run is in progress, because its connections then break. */
    private onConnectionLost(run: number, lost: () => void): void {
        this.connectionLossHandlers.set(run, lost);
    }

    private removeRun(run: number): void {
        this.runs.delete(run);
        this.connectionLossHandlers.delete(run);
    }

    private completeRun(run: number, outcome: Outcome, retriesLeft: number, load: LoadReport): void {
        const pending = this.runs.get(run);
        this.removeRun(run);
        pending?.respond(outcome, retriesLeft, load);
    }

    private forwardRun(effect: EffectOf<"forward_run">): void {
        const pending = this.runs.get(effect.run);
        if (pending === undefined) return;
        if (!this.target.alive) {
            this.dispatch({ type: "target_lost" });
            return this.dispatch({ type: "run_ended", run: effect.run, outcome: notRun("target-down") });
        }
        pending.cancel = this.target.submit({
            ...pending,
            startBefore: effect.startBefore,
            done: outcome =>
                this.whenRunning(() =>
                    this.endRun(effect.run, outcome.type === "answered" ? outcome.status : undefined)
                ),
        });
    }

    private endRun(run: number, status: number | undefined): void {
        if (status === undefined) {
            this.dispatch({ type: "run_ended", run, outcome: unknown("target-crashed") });
        }
        else {
            const pending = this.runs.get(run);
            if (pending !== undefined) pending.status = status;
            this.dispatch({ type: "run_answered", run, status });
            const response = { status, contentType: "text/plain", body: "" };
            this.dispatch({ type: "run_ended", run, outcome: { type: "ran", status }, response });
        }
        this.removeRun(run);
    }

    private cancelRun(run: number): void {
        this.runs.get(run)?.cancel?.();
        this.dispatch({ type: "run_ended", run, outcome: unknown("cancelled") });
        this.removeRun(run);
    }

    private relayAnswer(effect: EffectOf<"relay_answer">): void {
        const status = this.attempts.get(`${effect.call}/${effect.attempt}`)?.status ?? 200;
        this.completeCall(effect.call, { type: "answered", status });
        this.dispatch({ type: "attempt_closed", call: effect.call, attempt: effect.attempt, complete: true });
    }

    private readLog(effect: EffectOf<"read_log">): void {
        const sentAt = this.world.now;
        const { log, scheduler } = this.world;
        const fail = () => this.dispatch({ type: "log_read_failed" });
        const respond = () => {
            if (log.outage || this.world.isLinkCut(this, "log")) return fail();
            const { first, next, tail, records } = log.read(effect.fromOffset);
            if (effect.fromOffset < first) return this.dispatch({ type: "log_truncated", first, next: tail });
            this.dispatch({ type: "log_read", sentAt, first, next, atTail: next >= tail, records });
        };
        let hasResponded = false;
        const readOnce = () => {
            if (hasResponded) return;
            hasResponded = true;
            unsubscribe();
            scheduler.after(LOG_DELAY_MS + log.slowMs, respond);
        };
        const unsubscribe = log.onAppend(readOnce);
        if (log.outage || this.world.isLinkCut(this, "log") || effect.fromOffset < log.tail) readOnce();
        else scheduler.after(effect.waitMs, readOnce);
    }

    private append(effect: EffectOf<"append">): void {
        const { log, scheduler } = this.world;
        const { id } = effect.record;
        if (log.outage || this.world.isLinkCut(this, "log")) {
            scheduler.after(APPEND_TIMEOUT_MS, () => this.dispatch({ type: "append_ended", id }));
            return;
        }
        scheduler.after(LOG_DELAY_MS + log.slowMs, () => {
            const offset = log.append(effect.record);
            scheduler.after(
                LOG_DELAY_MS,
                () =>
                    this.dispatch({ type: "append_ended", id, offset: log.loseAnswers ? undefined : offset }),
            );
        });
    }

    private sendDatagram(effect: EffectOf<"send_datagram">): void {
        const bytes = this.traffic.recordSent(effect.datagram, DATAGRAM_ENVELOPE_BYTES);
        const peer = this.world.nodeAt(effect.to);
        if (peer === undefined || this.world.dropsDatagram(this, peer)) return;
        this.world.deliver(this, peer, () => {
            peer.traffic.recordReceived(bytes);
            peer.dispatch({
                type: "datagram_received",
                from: this.member.address,
                datagram: effect.datagram,
            });
        });
    }

    private sendRpc(effect: EffectOf<"send_rpc">): void {
        const sentAt = this.world.now;
        let ended = false;
        const end = (response?: PeerResponse) => {
            if (ended) return;
            ended = true;
            this.dispatch({ type: "rpc_ended", token: effect.token, sentAt, response });
        };
        const peer = this.world.nodeAt(effect.to);
        if (peer !== undefined && !this.world.isLinkCut(this, peer)) {
            const bytes = this.traffic.recordSent(effect.request, RPC_ENVELOPE_BYTES);
            this.world.deliver(this, peer, () => {
                const token = peer.nextId++;
                peer.traffic.recordReceived(bytes);
                peer.pendingRpcs.set(token, response => {
                    const responseBytes = peer.traffic.recordSent(response, RPC_ENVELOPE_BYTES);
                    this.world.deliver(peer, this, () => {
                        this.traffic.recordReceived(responseBytes);
                        end(response);
                    });
                });
                peer.dispatch({ type: "rpc_received", token, request: effect.request });
            });
        }
        this.world.scheduler.after(effect.timeoutMs, () => end());
    }
}
