/**
 * The caller's side: takes a request from a client or from the target beside this node, chooses a target, sends it
 * again where that is allowed, and answers. Decisions are made in `policy/`; this module keeps the state of calls.
 */
import type { RequestHead } from "../http/heads.ts";
import type { HttpAnswer, Reply } from "../http/leanServer.ts";
import type { Message } from "../http/messageReader.ts";
import { levelOf, MAX_LEVEL } from "../policy/admissionLevel.ts";
import { EntryCutoffs } from "../policy/entryCutoff.ts";
import { OverloadTracker } from "../policy/overloadTracker.ts";
import { isOverloadReason } from "../policy/retryAfter.ts";
import type { RefusalContext } from "../policy/retryAfter.ts";
import type { RetryBudget } from "../policy/retryBudget.ts";
import { decideRetry, mayHaveReachedTarget, mayHedge, repeatCharges } from "../policy/retryDecision.ts";
import { RouteCircuitBreaker } from "../policy/routeCircuitBreaker.ts";
import type { RouteDependencies, RouteDependencyMap } from "../policy/routeDependencies.ts";
import { RouteLatencies } from "../policy/routeLatency.ts";
import { findRoute, TrafficSplitter } from "../policy/routeTable.ts";
import { plainAnswer, refusalAnswer } from "./answers.ts";
import { targetWaitMs } from "./call.ts";
import type { Call } from "./call.ts";
import { CallLog } from "./callLog.ts";
import { steadyNow } from "./clock.ts";
import type { Counters } from "./counters.ts";
import { Dispatcher } from "./dispatcher.ts";
import type { DispatcherOptions } from "./dispatcher.ts";
import type { EventLog } from "./eventLog.ts";
import type { LatencySamples } from "./latencySamples.ts";
import type { Run } from "./runner.ts";
import type { FailureReason, MeshConfig, Outcome, RefusalReason, Route } from "./types.ts";

export interface ForwarderOptions extends
    Pick<
        DispatcherOptions,
        "service" | "directory" | "runner" | "sendTo" | "onConfigVersion"
    >
{
    readonly config: () => MeshConfig | undefined;
    readonly budget: RetryBudget;
    readonly counters: Counters;
    readonly latencies: LatencySamples;
    readonly log: EventLog;
    /** Whether the process ends too soon for another client request. */
    readonly isEnding: () => boolean;
    readonly uses: RouteDependencyMap;
    readonly onNewUse: (use: RouteDependencies) => void;
    readonly rand?: () => number;
}

const DEFAULT_DEADLINE_MS = 30_000;
const UNKNOWN_CONTEXT = { leftMs: DEFAULT_DEADLINE_MS, slackMs: 0, overloadDurationMs: 0 };
const MAX_ID_BYTES = 255;
const TARGET_WAIT_STEP_MS = 25;
const TIMER_GRAIN_MS = 4;

export class Forwarder {
    private readonly splits = new TrafficSplitter();
    private readonly cutoffs: EntryCutoffs;
    private readonly breaker = new RouteCircuitBreaker();
    private readonly routeLatencies = new RouteLatencies();
    private readonly overloads = new OverloadTracker();
    private readonly log: CallLog;
    private readonly dispatcher: Dispatcher;
    private readonly rand: () => number;
    private active = 0;

    constructor(private readonly options: ForwarderOptions) {
        this.rand = options.rand ?? Math.random;
        this.cutoffs = new EntryCutoffs(service => options.directory.ofService(service));
        this.log = new CallLog({ log: options.log, configVersion: () => options.config()?.version });
        this.dispatcher = new Dispatcher({ ...options, calls: this.log, rand: this.rand });
    }

    get activeCount(): number {
        return this.active;
    }

    /** Level up to which requests for a service are admitted at present, as far as its own load goes. */
    entryLevel(service: string): number {
        return this.cutoffs.cutoffOf(service, steadyNow());
    }

    onNewConfig(): void {
        this.splits.reset();
    }

    /** Handles a request; the returned function ends it when its caller has left. */
    handle(req: Message<RequestHead>, reply: Reply): (() => void) | undefined {
        const cfg = this.options.config();
        if (cfg === undefined) {
            reply(refusalAnswer("no-config", UNKNOWN_CONTEXT, this.rand));
            return undefined;
        }
        const { head } = req;
        if (head.requestId.length > MAX_ID_BYTES || head.requestId === "") {
            reply(plainAnswer(400));
            return undefined;
        }
        const route = findRoute(cfg, head.host, head.path);
        if (route === undefined) {
            reply(plainAnswer(404));
            return undefined;
        }
        const call = this.open(req, route, reply);
        return this.admit(call) ? () => this.onCallerGone(call) : undefined;
    }

    private open(req: Message<RequestHead>, route: Route, reply: Reply): Call {
        const now = steadyNow();
        const parent = this.parentOf(req.head.requestId);
        const deadlineMs = Math.min(req.head.deadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs);
        this.options.counters.countRequest(route.name);
        return {
            req,
            route,
            service: this.splits.choose(route),
            parent,
            isTraced: this.options.log.isTraced(req.head.requestId),
            level: parent?.level ?? levelOf(route.priority, req.head.requestId),
            startedAt: now,
            endsAt: Math.min(now + deadlineMs, parent?.deadlineAt ?? Infinity),
            reply,
            tried: [],
            timer: undefined,
            sends: 0,
            redirects: 0,
            mayHaveRun: false,
            cancelSend: undefined,
            cancelEarlier: undefined,
            isDone: false,
        };
    }

    /** The id of a call begins with that of the request whose run makes it; without that, it has no known parent. */
    private parentOf(requestId: string): Run | undefined {
        const dot = requestId.lastIndexOf(".");
        return dot <= 0 ? undefined : this.options.runner.runOf(requestId.slice(0, dot));
    }

    /** Returns whether the call goes on. */
    private admit(call: Call): boolean {
        this.active++;
        this.learnUse(call);
        if (call.parent === undefined) {
            this.options.counters.clientRequests++;
            if (this.options.isEnding()) {
                this.refuse(call, "stopping");
                return false;
            }
            this.options.budget.recordRequest(call.service, call.startedAt);
            this.cutoffs.recordRequest(call.level);
            const cutoff = this.cutoffFor(call, call.startedAt);
            if (call.level > cutoff) {
                this.refuse(call, "overload", cutoff);
                return false;
            }
            if (!this.breaker.isAdmitted(call.route.name, call.startedAt, this.rand)) {
                this.refuse(call, "failing-below");
                return false;
            }
        }
        const leftMs = Math.max(0, call.endsAt - call.startedAt);
        // Timers of equal length share a list, so lengths are rounded.
        call.timer = setTimeout(
            () => this.onTimeout(call),
            Math.ceil(leftMs / TIMER_GRAIN_MS) * TIMER_GRAIN_MS,
        );
        this.log.admitted(call);
        this.attempt(call);
        return !call.isDone;
    }

    private cutoffFor(call: Call, now: number): number {
        const own = this.cutoffs.cutoffOf(call.service, now);
        return Math.min(own, this.cutoffs.lowestCutoffOf(this.options.uses.servicesOf(call.route.name), now));
    }

    /** Learns what the parent's route uses from a call that one of its runs makes. */
    private learnUse(call: Call): void {
        if (call.parent === undefined) return;
        const { route } = call.parent.req;
        const { uses } = this.options;
        const isNew = uses.add(route, [call.service]);
        const isNewBelow = uses.add(route, uses.servicesOf(call.route.name));
        if (isNew || isNewBelow) this.options.onNewUse({ route, services: uses.servicesOf(route) });
    }

    private attempt(call: Call, lastReason: RefusalReason = "no-target"): void {
        const now = steadyNow();
        const isSent = this.dispatcher.send(call, now, {
            onOver: (outcome, isEarlier) => this.onSendOver(call, outcome, isEarlier),
            onSilent: () => this.onSilent(call),
        });
        if (!isSent) this.onNoTarget(call, now, lastReason);
    }

    /** One of up to two sends in progress is over; a failure does not count while the other one goes on. */
    private onSendOver(call: Call, outcome: Outcome, isEarlier: boolean): void {
        const hasServed = outcome.kind === "answer" && outcome.status < 500;
        const other = isEarlier ? call.cancelSend : call.cancelEarlier;
        call.cancelEarlier = undefined;
        call.cancelSend = hasServed ? undefined : other;
        if (hasServed) other?.();
        if (!hasServed && other !== undefined) this.countSend(call, outcome);
        else this.onOutcome(call, outcome);
    }

    /** The target has gone silent: the request is also sent elsewhere, and the first useful answer counts. */
    private onSilent(call: Call): void {
        const now = steadyNow();
        const { route } = call;
        const { isIdempotent, maxAttempts } = route;
        const leftMs = call.endsAt - now;
        if (call.cancelEarlier !== undefined) return;
        if (!mayHedge({ isIdempotent, maxAttempts, attempts: call.sends, leftMs })) return;
        if (!this.dispatcher.hasOther(call) || !this.takeRepeat(call, true, now)) {
            this.log.notRepeated(call, "target-silent");
            return;
        }
        this.options.counters.countRepeat("target-silent");
        this.log.repeated(call, "target-silent");
        call.mayHaveRun = true;
        call.cancelEarlier = call.cancelSend;
        this.attempt(call);
    }

    /** Right after a start or a loss the next target is often there in a moment. */
    private onNoTarget(call: Call, now: number, lastReason: RefusalReason): void {
        if (call.tried.length > 0 || now - call.startedAt >= targetWaitMs(call)) {
            this.endWithout(call, lastReason);
            return;
        }
        const timer = setTimeout(() => this.attempt(call), TARGET_WAIT_STEP_MS);
        call.cancelSend = () => clearTimeout(timer);
    }

    private countSend(call: Call, outcome: Outcome): void {
        if (mayHaveReachedTarget(outcome)) call.sends++;
        else call.redirects++;
        if (outcome.kind !== "not-run") call.mayHaveRun = true;
    }

    private onOutcome(call: Call, outcome: Outcome): void {
        this.countSend(call, outcome);
        const now = steadyNow();
        const decision = decideRetry({
            outcome,
            isIdempotent: call.route.isIdempotent,
            attempts: call.sends,
            redirects: call.redirects,
            maxAttempts: call.route.maxAttempts,
            leftMs: call.endsAt - now,
            isOverloaded: this.cutoffFor(call, now) < MAX_LEVEL,
        });
        switch (decision.kind) {
            case "stop":
                this.end(call, outcome);
                return;
            case "redirect":
                this.log.redirected(call, reasonOf(outcome));
                this.attempt(call, reasonOf(outcome));
                return;
            case "repeat":
                this.repeat(call, outcome, decision.mayHaveRun, now);
        }
    }

    private repeat(call: Call, outcome: Outcome, mayHaveRun: boolean, now: number): void {
        const why = outcome.kind === "answer" ? "answer-5xx" : outcome.reason;
        if (!this.dispatcher.hasOther(call) || !this.takeRepeat(call, mayHaveRun, now)) {
            this.log.notRepeated(call, why);
            this.end(call, outcome);
            return;
        }
        this.options.counters.countRepeat(why);
        this.log.repeated(call, why);
        this.attempt(call, reasonOf(outcome));
    }

    private takeRepeat(call: Call, mayHaveRun: boolean, now: number): boolean {
        const { budget, uses } = this.options;
        return budget.trySpend(
            repeatCharges(call.service, uses.servicesOf(call.route.name), mayHaveRun),
            now,
        );
    }

    private end(call: Call, outcome: Outcome): void {
        switch (outcome.kind) {
            case "answer":
                if (call.parent === undefined) this.noteClientAnswer(call, outcome.status);
                this.log.answered(call, outcome.status);
                this.options.latencies.record("answered", steadyNow() - call.startedAt);
                this.finish(call, outcome);
                return;
            case "not-run":
                this.endWithout(call, outcome.reason);
                return;
            case "unknown":
                this.fail(call, outcome.reason);
        }
    }

    private noteClientAnswer({ route, startedAt }: Call, status: number): void {
        const now = steadyNow();
        this.breaker.recordOutcome(route.name, status >= 500, now);
        if (status < 500) this.routeLatencies.record(route.name, now - startedAt);
    }

    /** Ends a call whose last send did not run; an earlier one may have. */
    private endWithout(call: Call, reason: RefusalReason): void {
        if (call.mayHaveRun) this.fail(call, "connection-lost");
        else this.refuse(call, reason);
    }

    private refuse(call: Call, reason: RefusalReason, cutoff?: number): void {
        this.options.counters.countRefused(reason);
        if (call.parent === undefined) this.options.counters.clientRefusals++;
        this.log.refused(call, reason, cutoff);
        this.options.latencies.record("refused", steadyNow() - call.startedAt);
        this.finish(call, refusalAnswer(reason, this.contextOf(call, reason), this.rand));
    }

    private contextOf({ route, startedAt, endsAt }: Call, reason: RefusalReason): RefusalContext {
        const now = steadyNow();
        return {
            leftMs: Math.max(0, endsAt - now),
            slackMs: route.latencyObjectiveMs - (now - startedAt) - this.routeLatencies.meanMs(route.name),
            overloadDurationMs: isOverloadReason(reason) ? this.overloads.recordRefusal(route.name, now) : 0,
        };
    }

    private fail(call: Call, reason: FailureReason): void {
        this.options.counters.countFailed(reason);
        this.log.failed(call, reason);
        this.finish(call, plainAnswer(reason === "timeout" ? 504 : 502));
    }

    private onTimeout(call: Call): void {
        if (call.isDone) return;
        call.timer = undefined;
        this.cancelSends(call);
        this.fail(call, "timeout");
    }

    private onCallerGone(call: Call): void {
        if (call.isDone) return;
        this.options.counters.countFailed("caller-gone");
        this.log.cancelled(call);
        this.cancelSends(call);
        this.close(call);
    }

    private cancelSends(call: Call): void {
        call.cancelSend?.();
        call.cancelEarlier?.();
    }

    private finish(call: Call, answer: HttpAnswer): void {
        if (call.parent === undefined && answer.status < 500) this.options.counters.clientServed++;
        this.close(call);
        call.reply(answer);
    }

    private close(call: Call): void {
        call.isDone = true;
        this.active--;
        clearTimeout(call.timer);
    }
}

function reasonOf(outcome: Outcome): RefusalReason | undefined {
    return outcome.kind === "not-run" ? outcome.reason : undefined;
}
