/**
 * Forwards requests from clients and from the local target: sends each request to a target, retries it where that is
 * allowed, and responds to the caller. The modules in `policy/` make the decisions; this module keeps the state of each
 * call.
 */
import type { HttpResponse, SendResponse } from "../http/httpServer.ts";
import type { RequestHead } from "../http/messageHead.ts";
import type { HttpMessage } from "../http/messageReader.ts";
import { MAX_LEVEL } from "../policy/admissionLevel.ts";
import { OverloadTracker } from "../policy/overloadTracker.ts";
import { isOverloadReason } from "../policy/retryAfter.ts";
import type { RefusalContext } from "../policy/retryAfter.ts";
import { decideRetry, mayHaveReachedTarget, mayHedge, retryCharges } from "../policy/retryDecision.ts";
import { CallTally } from "../policy/routeCalls.ts";
import type { RouteCalls } from "../policy/routeCalls.ts";
import type { RouteDependencies } from "../policy/routeDependencies.ts";
import { findRoute } from "../policy/routeTable.ts";
import { maxTargetWaitMs, refusalReasonOf } from "./call.ts";
import type { Call } from "./call.ts";
import { CallAdmission } from "./callAdmission.ts";
import type { CallAdmissionOptions } from "./callAdmission.ts";
import { CallFactory, DEFAULT_DEADLINE_MS } from "./callFactory.ts";
import { CallLog } from "./callLog.ts";
import { steadyNow } from "./clock.ts";
import type { Counters } from "./counters.ts";
import { Dispatcher } from "./dispatcher.ts";
import type { DispatcherOptions } from "./dispatcher.ts";
import type { EventLog } from "./eventLog.ts";
import type { LatencySamples } from "./latencySamples.ts";
import { emptyResponse, refusalResponse } from "./localResponses.ts";
import { QuotaCheck } from "./quotaCheck.ts";
import type { QuotaGate } from "./quotaGate.ts";
import type { FailureReason, MeshConfig, Outcome, RefusalReason } from "./types.ts";

export interface ForwarderOptions extends
    Pick<
        DispatcherOptions,
        | "ownService"
        | "directory"
        | "runner"
        | "sendToNode"
        | "onConfigVersion"
        | "accountNameField"
        | "memory"
    >,
    CallAdmissionOptions
{
    readonly config: () => MeshConfig | undefined;
    readonly counters: Counters;
    readonly latencies: LatencySamples;
    readonly log: EventLog;
    readonly routeCalls: Pick<RouteCalls, "callsBelow">;
    /** Without it, accounts have no quotas. */
    readonly quotas?: QuotaGate | undefined;
    readonly onNewDependency: (dependencies: RouteDependencies) => void;
    readonly rand?: () => number;
}

const NO_CONFIG_REFUSAL_CONTEXT = { leftMs: DEFAULT_DEADLINE_MS, slackMs: 0, overloadDurationMs: 0 };
const MAX_REQUEST_ID_BYTES = 255;
const TARGET_POLL_INTERVAL_MS = 25;
const TIMER_GRANULARITY_MS = 4;

export class Forwarder {
    private readonly admission: CallAdmission;
    private readonly quotaCheck: QuotaCheck;
    private readonly callFactory: CallFactory;
    private readonly overloadTracker = new OverloadTracker();
    private readonly callLog: CallLog;
    private readonly dispatcher: Dispatcher;
    private readonly rand: () => number;
    private activeCalls = 0;

    constructor(private readonly options: ForwarderOptions) {
        this.rand = options.rand ?? Math.random;
        this.admission = new CallAdmission(options, this.rand);
        this.callLog = new CallLog({ log: options.log, configVersion: () => options.config()?.version });
        this.callFactory = new CallFactory({ ...options, callLog: this.callLog });
        this.quotaCheck = new QuotaCheck(
            options.quotas,
            (call, isAdmitted) => this.onQuotaDecided(call, isAdmitted),
        );
        this.dispatcher = new Dispatcher({ ...options, callLog: this.callLog, rand: this.rand });
    }

    get activeCount(): number {
        return this.activeCalls;
    }

    /** Entry cutoff of a service alone; that of a request may be lower, due to a dependency (see `cutoffFor`). */
    entryCutoffOf(service: string): number {
        return this.admission.cutoffOf(service, steadyNow());
    }

    onNewConfig(): void {
        this.callFactory.onNewConfig();
    }

    /**
     * Handles a request that arrived at `arrivedAt` (`steadyNow()` time in ms). Returns a function that must be called
     * if the caller disconnects before the response, or `undefined` if the response has been sent already.
     */
    handle(
        req: HttpMessage<RequestHead>,
        respond: SendResponse,
        arrivedAt = steadyNow(),
    ): (() => void) | undefined {
        const cfg = this.options.config();
        if (cfg === undefined) {
            respond(refusalResponse("no-config", NO_CONFIG_REFUSAL_CONTEXT, this.rand));
            return undefined;
        }
        const { head } = req;
        if (head.requestId.length > MAX_REQUEST_ID_BYTES || head.requestId === "") {
            respond(emptyResponse(400));
            return undefined;
        }
        const route = findRoute(cfg, head.host, head.path);
        if (route === undefined) {
            respond(emptyResponse(404));
            return undefined;
        }
        const call = this.callFactory.create({ req, route, respond, accounts: cfg.accounts, arrivedAt });
        if (call === undefined) {
            respond(emptyResponse(401));
            return undefined;
        }
        return this.begin(call) ? () => this.onCallerGone(call) : undefined;
    }

    /** Whether a request belongs to an idempotent route, so that it may run although its response gets lost. */
    isIdempotent(head: RequestHead): boolean {
        const cfg = this.options.config();
        return cfg !== undefined && findRoute(cfg, head.host, head.path)?.isIdempotent === true;
    }

    /** Refuses the call, starts its first attempt or waits for its quota. Returns whether it is still in progress. */
    private begin(call: Call): boolean {
        this.activeCalls++;
        this.recordDependency(call);
        if (call.parent === undefined) this.options.counters.clientRequests++;
        switch (this.quotaCheck.acquire(call)) {
            case "admitted":
                return this.admit(call);
            case "waiting":
                this.startDeadlineTimer(call, steadyNow());
                return true;
            case "refused":
                this.refuse(call, "quota");
                return false;
        }
    }

    private onQuotaDecided(call: Call, isAdmitted: boolean): void {
        if (isAdmitted) this.admit(call);
        else this.refuse(call, "quota");
    }

    /** Refuses the call or starts its first attempt. Returns whether the call is still in progress. */
    private admit(call: Call): boolean {
        const now = steadyNow();
        if (call.sharesPriority) call.level = this.callFactory.fairLevelOf(call, now);
        const refusal = this.admission.check(call, now);
        if (refusal !== undefined) {
            this.refuse(call, refusal.reason, refusal.cutoff);
            return false;
        }
        if (call.deadlineTimer === undefined) this.startDeadlineTimer(call, now);
        this.callLog.admitted(call);
        this.startAttempt(call);
        return !call.isDone;
    }

    private startDeadlineTimer(call: Call, now: number): void {
        const leftMs = Math.max(0, call.deadlineAt - now);
        // Node.js keeps timers of equal duration in one list; rounding the durations lets most timers share a list.
        call.deadlineTimer = setTimeout(
            () => this.onTimeout(call),
            Math.ceil(leftMs / TIMER_GRANULARITY_MS) * TIMER_GRANULARITY_MS,
        );
    }

    /** Adds the called service and the dependencies of the call's route to those of the parent's route. */
    private recordDependency(call: Call): void {
        if (call.parent === undefined) return;
        call.parent.calls ??= new CallTally();
        call.parent.calls.add(call.route.name, call.service);
        const { route } = call.parent.req;
        const { dependencies } = this.options;
        const isNew = dependencies.add(route, [call.service, ...dependencies.servicesOf(call.route.name)]);
        if (isNew) this.options.onNewDependency({ route, services: dependencies.servicesOf(route) });
    }

    private startAttempt(call: Call, lastReason: RefusalReason = "no-target"): void {
        const now = steadyNow();
        const isStarted = this.dispatcher.startAttempt(call, now, {
            onAttemptDone: (outcome, isEarlier) => this.onAttemptDone(call, outcome, isEarlier),
            onSilent: () => this.onSilent(call),
        });
        if (!isStarted) this.onNoTarget(call, now, lastReason);
    }

    /**
     * Handles the end of one of at most two concurrent attempts. If it failed while the other one is in progress, it is
     * only counted, and the outcome of the other one decides the call.
     */
    private onAttemptDone(call: Call, outcome: Outcome, isEarlierAttempt: boolean): void {
        const isSuccess = outcome.kind === "answer" && outcome.status < 500;
        const cancelOther = isEarlierAttempt ? call.cancelAttempt : call.cancelEarlierAttempt;
        call.cancelEarlierAttempt = undefined;
        call.cancelAttempt = isSuccess ? undefined : cancelOther;
        if (isSuccess) cancelOther?.();
        if (!isSuccess && cancelOther !== undefined) this.countAttempt(call, outcome);
        else this.onOutcome(call, outcome);
    }

    /** Hedges the attempt at a target that has stopped responding. The first response with a status < 500 is used. */
    private onSilent(call: Call): void {
        const now = steadyNow();
        const { route } = call;
        const { isIdempotent, maxAttempts } = route;
        const leftMs = call.deadlineAt - now;
        if (call.cancelEarlierAttempt !== undefined) return;
        if (!mayHedge({ isIdempotent, maxAttempts, attempts: call.attempts, leftMs })) return;
        if (!this.dispatcher.hasUntriedTarget(call) || !this.trySpendRetryBudget(call, true, now)) {
            this.callLog.notRetried(call, "target-silent");
            return;
        }
        this.options.counters.countRetry("target-silent");
        this.callLog.retried(call, "target-silent");
        call.mayHaveRun = true;
        call.cancelEarlierAttempt = call.cancelAttempt;
        this.startAttempt(call);
    }

    /**
     * Called when no untried target is usable. A call that has had an attempt ends. A call without one polls for a
     * target for a short time, since targets often become usable soon after the mesh starts or the last target is lost.
     */
    private onNoTarget(call: Call, now: number, lastReason: RefusalReason): void {
        if (call.triedNodes.length > 0 || now - call.startedAt >= maxTargetWaitMs(call)) {
            this.endWithoutResponse(call, lastReason);
            return;
        }
        const timer = setTimeout(() => this.startAttempt(call), TARGET_POLL_INTERVAL_MS);
        call.cancelAttempt = () => clearTimeout(timer);
    }

    private countAttempt(call: Call, outcome: Outcome): void {
        if (mayHaveReachedTarget(outcome)) call.attempts++;
        else call.refusedAttempts++;
        if (outcome.kind !== "not-run") call.mayHaveRun = true;
    }

    private onOutcome(call: Call, outcome: Outcome): void {
        this.countAttempt(call, outcome);
        const now = steadyNow();
        const decision = decideRetry({
            outcome,
            isIdempotent: call.route.isIdempotent,
            attempts: call.attempts,
            refusedAttempts: call.refusedAttempts,
            maxAttempts: call.route.maxAttempts,
            leftMs: call.deadlineAt - now,
            isOverloaded: this.admission.cutoffFor(call, now) < MAX_LEVEL,
        });
        switch (decision.kind) {
            case "stop":
                this.end(call, outcome);
                return;
            case "transparent-retry":
                this.callLog.retriedTransparently(call, refusalReasonOf(outcome));
                this.startAttempt(call, refusalReasonOf(outcome));
                return;
            case "retry":
                this.retry(call, outcome, decision.mayHaveRun, now);
        }
    }

    private retry(call: Call, outcome: Outcome, mayHaveRun: boolean, now: number): void {
        const reason = outcome.kind === "answer" ? "answer-5xx" : outcome.reason;
        if (!this.dispatcher.hasUntriedTarget(call) || !this.trySpendRetryBudget(call, mayHaveRun, now)) {
            this.callLog.notRetried(call, reason);
            this.end(call, outcome);
            return;
        }
        this.options.counters.countRetry(reason);
        this.callLog.retried(call, reason);
        this.startAttempt(call, refusalReasonOf(outcome));
    }

    private trySpendRetryBudget(call: Call, mayHaveRun: boolean, now: number): boolean {
        const { retryBudget, dependencies, routeCalls } = this.options;
        return retryBudget.trySpend(
            retryCharges(call.service, {
                dependencies: dependencies.servicesOf(call.route.name),
                callsBelow: routeCalls.callsBelow(call.route.name),
                mayHaveRun,
            }),
            now,
        );
    }

    private end(call: Call, outcome: Outcome): void {
        switch (outcome.kind) {
            case "answer":
                if (call.parent === undefined) {
                    this.admission.recordResponse(call, outcome.status, steadyNow());
                }
                this.callLog.responded(call, outcome.status);
                this.options.latencies.record("answered", steadyNow() - call.startedAt);
                if (call.parent === undefined && outcome.status < 500) this.options.counters.clientServed++;
                this.respond(call, outcome);
                return;
            case "not-run":
                this.endWithoutResponse(call, outcome.reason);
                return;
            case "unknown":
                this.fail(call, outcome.reason);
        }
    }

    /**
     * Ends a call that had no attempt or whose last attempt was not executed: as refused or, if a target may have
     * executed an earlier attempt, as failed with `connection-lost`, whatever the outcome of that attempt was.
     */
    private endWithoutResponse(call: Call, reason: RefusalReason): void {
        if (call.mayHaveRun) this.fail(call, "connection-lost");
        else this.refuse(call, reason);
    }

    private refuse(call: Call, reason: RefusalReason, cutoff?: number): void {
        this.options.counters.countRefusal(reason);
        if (call.parent === undefined) this.options.counters.clientRefusals++;
        if (call.account !== undefined) {
            this.options.counters.countAccountRefusal(call.account.name, reason);
            this.quotaCheck.giveBack(call);
        }
        this.callLog.refused(call, reason, cutoff);
        this.options.latencies.record("refused", steadyNow() - call.startedAt);
        this.respond(call, refusalResponse(reason, this.refusalContextOf(call, reason), this.rand));
    }

    private refusalContextOf(call: Call, reason: RefusalReason): RefusalContext {
        const { route, startedAt, deadlineAt } = call;
        const now = steadyNow();
        return {
            leftMs: Math.max(0, deadlineAt - now),
            slackMs: route.latencyObjectiveMs - (now - startedAt) - this.admission.meanLatencyMs(call),
            overloadDurationMs: isOverloadReason(reason)
                ? this.overloadTracker.recordRefusal(route.name, now)
                : 0,
            blockedForMs: reason === "crashes-targets" ? this.admission.blockedForMs(call) : undefined,
            quotaWaitMs: reason === "quota" ? this.quotaCheck.retryAfterMs(call) : undefined,
        };
    }

    private fail(call: Call, reason: FailureReason): void {
        this.options.counters.countFailure(reason);
        this.callLog.failed(call, reason);
        this.respond(call, emptyResponse(reason === "timeout" ? 504 : 502));
    }

    private onTimeout(call: Call): void {
        if (call.isDone) return;
        call.deadlineTimer = undefined;
        if (call.isWaitingForQuota) {
            this.refuse(call, "deadline");
            return;
        }
        this.cancelAttempts(call);
        this.fail(call, "timeout");
    }

    private onCallerGone(call: Call): void {
        if (call.isDone) return;
        this.options.counters.countFailure("caller-gone");
        this.callLog.cancelled(call);
        this.cancelAttempts(call);
        if (call.triedNodes.length === 0) this.quotaCheck.giveBack(call);
        this.markDone(call);
    }

    private cancelAttempts(call: Call): void {
        call.cancelAttempt?.();
        call.cancelEarlierAttempt?.();
    }

    private respond(call: Call, response: HttpResponse): void {
        this.markDone(call);
        call.respond(response);
    }

    private markDone(call: Call): void {
        call.isDone = true;
        this.activeCalls--;
        clearTimeout(call.deadlineTimer);
    }
}
