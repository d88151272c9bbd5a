/**
 * Runs requests at the local target: admission control, a priority queue for free slots, the exchange and its outcome.
 * All requests to the target but health checks pass here, so its free slots are known and it need not shed load.
 */
import { CutoffController } from "../policy/cutoffController.ts";
import { PriorityQueue } from "../policy/priorityQueue.ts";
import type { QueueItem } from "../policy/priorityQueue.ts";
import type { CallTally, RouteCalls } from "../policy/routeCalls.ts";
import { steadyNow } from "./clock.ts";
import type { Counters } from "./counters.ts";
import { CrashDetector } from "./crashDetector.ts";
import type { CrashGuard } from "./crashGuard.ts";
import type { EventLog } from "./eventLog.ts";
import type { LatencySamples } from "./latencySamples.ts";
import { RunLog } from "./runLog.ts";
import { toOutcome } from "./runOutcome.ts";
import { TargetConnectionPool } from "./targetConnectionPool.ts";
import type { ExchangeResult, TargetConnectionPoolOptions, TargetExchange } from "./targetConnectionPool.ts";
import { isSameStart } from "./targetRecords.ts";
import { encodeTargetRequest } from "./targetRequest.ts";
import type {
    FailureReason,
    ForwardedRequest,
    LoadReport,
    Outcome,
    RefusalReason,
    TargetRecord,
} from "./types.ts";

export interface RunListener {
    onDone(outcome: Outcome): void;
    /** Called when the target has completed no response for a while. The run is still in progress. */
    onSilent(): void;
}

export interface Run extends QueueItem {
    readonly req: ForwardedRequest;
    readonly isTraced: boolean;
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    readonly listener: RunListener;
    /** When the run got a slot; 0 while it waits in the queue. `exchange` is set at the same time. */
    startedAt: number;
    exchange: TargetExchange | undefined;
    isDone: boolean;
    isSilenceReported: boolean;
    /** The calls that the target has made while it ran the request; `undefined` if there are none. */
    calls: CallTally | undefined;
}

export interface RunnerOptions extends TargetConnectionPoolOptions {
    readonly counters: Counters;
    readonly latencies: LatencySamples;
    readonly log: EventLog;
    /** Cutoff that this node, as the entry node, applies to client requests to a service. */
    readonly entryCutoffOf: (service: string) => number;
    readonly crashGuard: Pick<CrashGuard, "onCrash" | "onAnswered">;
    readonly routeCalls: Pick<RouteCalls, "observe">;
}

/** Share of the announced slots that is used. A full target slows down, and its health checks need a slot too. */
const SLOT_UTILIZATION = 0.95;
const SERVICE_TIME_SMOOTHING = 0.05;
/** How long runs are refused after a connection to the target has failed. A heartbeat ends this time early. */
const UNREACHABLE_BACKOFF_MS = 300;
/** A busy target counts as silent if it completes no response for this time and for this many service times. */
const SILENCE_TIMEOUT_MS = 700;
const SILENCE_SERVICE_TIMES = 6;
/** A silent target is sent at most one new run per interval, to find out whether it responds again. */
const TRIAL_INTERVAL_MS = 300;
/** Response timeout of a health check. After a failed check, `MeshNode` waits for the target's next heartbeat. */
const HEALTH_CHECK_TIMEOUT_MS = 2000;
/** How long after its deadline a run without a response is aborted. */
const OVERDUE_GRACE_MS = 400;
/** The target's deadline is earlier by this time, so that its timeout response arrives before the run's deadline. */
const DEADLINE_MARGIN_MS = 12;
/** Weight of the failure rate in the reported service time: at 10% failures, it is 1.8 times the measured one. */
const FAILURE_RATE_PENALTY = 8;
const FAILURE_RATE_SMOOTHING = 0.04;

export class Runner {
    private readonly cutoffController = new CutoffController();
    private readonly queue = new PriorityQueue<Run>();
    private readonly running = new Map<string, Run>();
    private readonly pool: TargetConnectionPool;
    private readonly crashDetector: CrashDetector;
    private readonly counters: Counters;
    private readonly log: RunLog;
    private target: TargetRecord | undefined;
    private slotsInUse = 0;
    private serviceMs = 0;
    private failureRate = 0;
    private unreachableUntil = 0;
    private lastProgressAt = 0;
    private lastTrialAt = 0;
    private expiryTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: RunnerOptions) {
        this.pool = new TargetConnectionPool(options);
        this.crashDetector = new CrashDetector({
            ...options,
            onCrash: requests => options.crashGuard.onCrash(requests),
        });
        this.counters = options.counters;
        this.log = new RunLog(options.log, () => this.loadReport(0)); // Its version is not logged.
    }

    get limit(): number {
        return this.target === undefined ? 0 : Math.max(1, Math.floor(this.target.slots * SLOT_UTILIZATION));
    }

    get activeCount(): number {
        return this.slotsInUse + this.queue.length;
    }

    /** Returns the run with this request id if it is in progress at the target. */
    findRun(requestId: string): Run | undefined {
        return this.running.get(requestId);
    }

    get cutoffLevel(): number {
        return this.cutoffController.cutoff;
    }

    loadReport(configVersion: number): LoadReport {
        return {
            cutoff: this.cutoffController.cutoff,
            running: this.slotsInUse,
            queued: this.queue.length,
            limit: this.limit,
            serviceMs: this.serviceMs * (1 + FAILURE_RATE_PENALTY * this.failureRate),
            configVersion,
        };
    }

    /** Applies the target's latest record. Each record ends the backoff after a failed connection. */
    setTarget(target: TargetRecord | undefined): void {
        const isOtherTarget = target?.id !== this.target?.id;
        const isNewStart = target !== undefined && this.target !== undefined
            && !isSameStart(target, this.target);
        this.target = target;
        if (isOtherTarget) this.resetTargetState();
        if (isNewStart) this.crashDetector.onTargetEnded();
        this.unreachableUntil = 0;
        if (target === undefined || target.state !== "ready") this.refuseQueued("draining");
        this.startQueued();
    }

    submit(req: ForwardedRequest, listener: RunListener): Run {
        const now = steadyNow();
        const run: Run = {
            req,
            isTraced: this.options.log.isTraced(req.requestId),
            level: req.level,
            arrivedAt: now,
            deadlineAt: now + req.leftMs,
            expiresAt: now + Math.min(req.maxQueueMs, req.leftMs),
            listener,
            startedAt: 0,
            exchange: undefined,
            isDone: false,
            isSilenceReported: false,
            calls: undefined,
        };
        const refusal = this.checkAdmission(run, now);
        if (refusal !== undefined) this.refuse(run, refusal);
        else if (this.slotsInUse < this.limit && this.queue.length === 0) this.start(run, now);
        else this.enqueue(run, now);
        return run;
    }

    /** Cancels a run, but no non-idempotent one at the target unless a partial response shows that it was executed. */
    cancel(run: Run): void {
        if (run.isDone) return;
        if (run.startedAt === 0) {
            this.queue.remove(run);
            run.isDone = true;
            this.log.cancelled(run, steadyNow());
            return;
        }
        if (!run.req.isIdempotent && run.exchange?.isReceivingResponse() !== true) return;
        this.log.cancelled(run, steadyNow());
        run.exchange?.abort();
        this.endRun(run);
    }

    /** Sends a health check. `onChecked` gets the instance id of a 200 response, or `undefined` after a failure. */
    checkHealth(path: string, onChecked: (healthyId: string | undefined) => void): void {
        const { host, port } = this.options;
        const timer = setTimeout(() => {
            exchange.abort();
            onChecked(undefined);
        }, HEALTH_CHECK_TIMEOUT_MS);
        const exchange = this.pool.send({
            requestId: "",
            method: "GET",
            isIdempotent: true,
            bytes: Buffer.from(`GET ${path} HTTP/1.1\r\nHost: ${host}:${port}\r\n\r\n`, "latin1"),
            onResult: result => {
                clearTimeout(timer);
                const isHealthy = result.kind === "response" && result.head.status === 200;
                onChecked(isHealthy ? result.head.instanceId : undefined);
            },
        });
    }

    /** Updates the cutoff and handles stale connections, overdue runs and a silent target. Called every 100 ms. */
    tick(now: number): void {
        const limit = Math.max(1, this.limit);
        this.cutoffController.endWindow(
            this.queue.length / limit,
            this.options.entryCutoffOf(this.target?.service ?? ""),
        );
        this.pool.closeStale(now);
        this.abortOverdueRuns(now);
        this.reportSilence(now);
    }

    close(): void {
        this.pool.closeIdle();
        this.crashDetector.close();
        if (this.expiryTimer !== undefined) clearInterval(this.expiryTimer);
    }

    private resetTargetState(): void {
        this.serviceMs = 0;
        this.failureRate = 0;
        this.lastProgressAt = steadyNow();
        this.pool.closeIdle();
    }

    private checkAdmission(run: Run, now: number): RefusalReason | undefined {
        const { target } = this;
        if (target === undefined || target.state === "gone") return "no-target";
        if (target.state === "draining") return "draining";
        if (target.service !== run.req.service) return "wrong-service";
        if (now < this.unreachableUntil || this.refuseUnlessTrial(now)) return "target-down";
        if (run.req.leftMs <= DEADLINE_MARGIN_MS) return "deadline";
        this.cutoffController.recordArrival(run.level);
        if (!run.req.isNested && !this.cutoffController.isAdmitted(run.level)) return "overload";
        return undefined;
    }

    private enqueue(run: Run, now: number): void {
        const ahead = this.queue.countAhead(run.level);
        const expectedWaitMs = (ahead + 1) * this.serviceMs / Math.max(1, this.limit);
        if (now + expectedWaitMs > run.expiresAt) {
            this.cutoffController.recordUnserved();
            this.refuse(run, "overload");
            return;
        }
        this.queue.push(run);
        this.log.queued(run, now, expectedWaitMs);
        this.expiryTimer ??= setInterval(() => this.expireQueued(), 20);
    }

    private expireQueued(): void {
        for (const run of this.queue.removeExpired(steadyNow())) this.expire(run);
        if (this.queue.length > 0 || this.expiryTimer === undefined) return;
        clearInterval(this.expiryTimer);
        this.expiryTimer = undefined;
    }

    private expire(run: Run): void {
        this.cutoffController.recordUnserved();
        this.refuse(run, "queue-timeout");
    }

    private refuse(run: Run, reason: RefusalReason): void {
        run.isDone = true;
        this.counters.countRunRefusal(reason);
        this.log.refused(run, steadyNow(), reason);
        run.listener.onDone({ kind: "not-run", reason });
    }

    private refuseQueued(reason: RefusalReason): void {
        for (const run of this.queue.removeAll()) this.refuse(run, reason);
    }

    private startQueued(): void {
        const now = steadyNow();
        while (this.slotsInUse < this.limit && this.queue.length > 0) {
            const run = this.queue.shift(now, expired => this.expire(expired));
            if (run !== undefined) this.start(run, now);
        }
    }

    private start(run: Run, now: number): void {
        const target = this.target!;
        if (this.slotsInUse === 0) this.lastProgressAt = now;
        this.slotsInUse++;
        this.cutoffController.recordStart(now - run.arrivedAt);
        this.counters.runsStarted++;
        this.counters.runsWaitedMs += now - run.arrivedAt;
        run.startedAt = now;
        this.options.latencies.record("queue", now - run.arrivedAt);
        this.log.started(run, now);
        this.running.set(run.req.requestId, run);
        run.exchange = this.pool.send({
            requestId: run.req.requestId,
            method: run.req.method,
            isIdempotent: run.req.isIdempotent,
            bytes: encodeTargetRequest(run.req, {
                names: this.options.protocol.names,
                targetId: target.id,
                leftMs: Math.max(1, Math.floor(run.deadlineAt - now - DEADLINE_MARGIN_MS)),
            }),
            onResult: result => this.onResult(run, result),
        });
    }

    private onResult(run: Run, result: ExchangeResult): void {
        if (run.isDone) return;
        const now = steadyNow();
        if (result.kind === "response") this.recordResponse(run, now, result.head.notExecuted);
        const isLost = result.kind === "lost" && result.reason === "connection-lost";
        if (isLost && this.target?.state === "ready") this.crashDetector.onConnectionLost(run.req);
        if (result.kind === "unreachable") {
            this.crashDetector.onTargetEnded();
            this.unreachableUntil = now + UNREACHABLE_BACKOFF_MS;
            this.finish(run, { kind: "not-run", reason: "target-down" });
            this.refuseQueued("target-down");
            return;
        }
        const outcome = toOutcome(result, run.req.isIdempotent);
        const hasFailed = outcome.kind !== "answer" || outcome.status >= 500;
        this.failureRate += FAILURE_RATE_SMOOTHING * ((hasFailed ? 1 : 0) - this.failureRate);
        this.finish(run, outcome, result.kind === "lost" ? result.detail : undefined);
    }

    private recordResponse(run: Run, now: number, isNotExecuted: boolean): void {
        this.lastProgressAt = now;
        if (isNotExecuted) return;
        this.options.crashGuard.onAnswered(run.req);
        const elapsedMs = now - run.startedAt;
        this.options.latencies.record("target", elapsedMs);
        this.serviceMs = this.serviceMs === 0
            ? elapsedMs
            : this.serviceMs + SERVICE_TIME_SMOOTHING * (elapsedMs - this.serviceMs);
    }

    private finish(run: Run, outcome: Outcome, detail?: string): void {
        this.log.ended(run, steadyNow(), outcome, detail);
        this.options.routeCalls.observe(
            run.req.route,
            run.calls,
            outcome.kind === "answer" && outcome.status < 500,
        );
        this.endRun(run);
        run.listener.onDone(outcome);
    }

    private endRun(run: Run): void {
        if (run.isDone) return;
        run.isDone = true;
        this.slotsInUse--;
        this.counters.slotMs += steadyNow() - run.startedAt;
        if (this.running.get(run.req.requestId) === run) this.running.delete(run.req.requestId);
        if (this.queue.length > 0) this.startQueued();
    }

    private abortOverdueRuns(now: number): void {
        for (const run of this.running.values()) {
            if (now > run.deadlineAt + OVERDUE_GRACE_MS) this.abortRun(run, "timeout");
        }
    }

    private abortRun(run: Run, reason: FailureReason): void {
        run.exchange?.abort();
        this.finish(run, { kind: "unknown", reason });
    }

    /** Returns whether to refuse a run because the target is silent. Lets one run per interval pass as the trial. */
    private refuseUnlessTrial(now: number): boolean {
        if (!this.isSilent(now)) return false;
        if (now - this.lastTrialAt < TRIAL_INTERVAL_MS) return true;
        this.lastTrialAt = now;
        return false;
    }

    private isSilent(now: number): boolean {
        if (this.slotsInUse === 0) return false;
        return now - this.lastProgressAt
            > Math.max(SILENCE_TIMEOUT_MS, SILENCE_SERVICE_TIMES * this.serviceMs);
    }

    /** Refuses queued runs. Sent runs continue, since they may complete; callers may hedge idempotent ones. */
    private reportSilence(now: number): void {
        if (!this.isSilent(now)) return;
        this.refuseQueued("target-down");
        for (const run of this.running.values()) {
            if (!run.req.isIdempotent || run.isSilenceReported || now - run.startedAt <= SILENCE_TIMEOUT_MS) {
                continue;
            }
            run.isSilenceReported = true;
            run.listener.onSilent();
        }
    }
}
