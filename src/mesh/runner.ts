/**
 * Runs requests at the local target: admission control, a priority queue for free slots, the exchange and its outcome.
 * All requests to the target but health checks pass here, so its free slots are known and it need not shed load.
 */
import { CutoffController } from "../policy/cutoffController.ts";
import { PriorityQueue } from "../policy/priorityQueue.ts";
import type { RouteCalls } from "../policy/routeCalls.ts";
import { ServiceTime } from "../policy/serviceTime.ts";
import { TargetCapacity } from "../policy/targetCapacity.ts";
import { steadyNow } from "./clock.ts";
import type { Counters } from "./counters.ts";
import { CrashDetector } from "./crashDetector.ts";
import type { CrashGuard } from "./crashGuard.ts";
import type { EventLog } from "./eventLog.ts";
import type { LatencySamples } from "./latencySamples.ts";
import { createRun } from "./run.ts";
import type { Run, RunListener } from "./run.ts";
import { RunLog } from "./runLog.ts";
import { toOutcome } from "./runOutcome.ts";
import { SILENCE_TIMEOUT_MS, SilenceDetector } from "./silenceDetector.ts";
import { TargetConnectionPool } from "./targetConnectionPool.ts";
import type { ExchangeResult, TargetConnectionPoolOptions } from "./targetConnectionPool.ts";
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

export type { Run, RunListener } from "./run.ts";

export interface RunnerOptions extends TargetConnectionPoolOptions {
    readonly counters: Counters;
    readonly latencies: LatencySamples;
    readonly log: EventLog;
    /** Cutoff that this node, as the entry node, applies to client requests to a service. */
    readonly entryCutoffOf: (service: string) => number;
    readonly crashGuard: Pick<CrashGuard, "onCrash" | "onAnswered">;
    readonly routeCalls: Pick<RouteCalls, "observe">;
    /** Whether the concurrency limit is learned from the service times; otherwise, it follows from the slots alone. */
    readonly learnsCapacity: boolean;
}

/** Share of the announced slots that is used. A full target slows down, and its health checks need a slot too. */
const SLOT_UTILIZATION = 0.95;
/** How long runs are refused after a connection to the target has failed. A heartbeat ends this time early. */
const UNREACHABLE_BACKOFF_MS = 300;
/** Response timeout of a health check. After a failed check, `MeshNode` waits for the target's next heartbeat. */
const HEALTH_CHECK_TIMEOUT_MS = 2000;
/** How long after its deadline a run without a response is aborted. */
const OVERDUE_GRACE_MS = 400;
/** The target's deadline is earlier by this time, so that its timeout response arrives before the run's deadline. */
const DEADLINE_MARGIN_MS = 12;

export class Runner {
    private readonly cutoffController = new CutoffController();
    private readonly queue = new PriorityQueue<Run>();
    private readonly running = new Map<string, Run>();
    private readonly pool: TargetConnectionPool;
    private readonly crashDetector: CrashDetector;
    private readonly counters: Counters;
    private readonly log: RunLog;
    /** `undefined` if the concurrency limit is not learned. */
    readonly capacity: TargetCapacity | undefined;
    private target: TargetRecord | undefined;
    private slotsInUse = 0;
    private readonly serviceTime: ServiceTime;
    private readonly silence = new SilenceDetector();
    private unreachableUntil = 0;
    private expiryTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: RunnerOptions) {
        this.pool = new TargetConnectionPool(options);
        this.crashDetector = new CrashDetector({
            ...options,
            onCrash: requests => options.crashGuard.onCrash(requests),
        });
        this.counters = options.counters;
        this.serviceTime = new ServiceTime(options);
        if (options.learnsCapacity) {
            this.capacity = new TargetCapacity({
                rand: Math.random,
                onLimitChange: (limit, previous) => this.log.limitChanged(limit, previous, this.target?.id),
            });
        }
        this.log = new RunLog(options.log, () => this.loadReport(0)); // Its version is not logged.
    }

    get limit(): number {
        if (this.target === undefined) return 0;
        return this.capacity?.limit ?? maxLimitOf(this.target);
    }

    /** Whether the concurrency limit is learned. */
    get learnsCapacity(): boolean {
        return this.capacity !== undefined;
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
            serviceMs: this.serviceTime.reportedMs,
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
        if (target !== undefined) this.capacity?.setSlots(target.slots, maxLimitOf(target), isOtherTarget);
        if (isNewStart) this.crashDetector.onTargetEnded();
        this.unreachableUntil = 0;
        if (target === undefined || target.state !== "ready") this.refuseQueued("draining");
        this.startQueued();
    }

    submit(req: ForwardedRequest, listener: RunListener): Run {
        const now = steadyNow();
        const run = createRun(req, listener, this.options.log.isTraced(req.requestId), now);
        const refusal = this.checkAdmission(run, now);
        if (refusal !== undefined) this.refuse(run, refusal);
        else if (this.hasSlotFor(run) && this.queue.length === 0) this.start(run, now);
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
        this.capacity?.tick(now, this.slotsInUse, this.queue.length, this.serviceTime.ms);
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
        this.serviceTime.reset();
        this.silence.recordProgress(steadyNow());
        this.pool.closeIdle();
    }

    private checkAdmission(run: Run, now: number): RefusalReason | undefined {
        const { target } = this;
        if (target === undefined || target.state === "gone") return "no-target";
        if (target.state === "draining") return "draining";
        if (target.service !== run.req.service) return "wrong-service";
        if (now < this.unreachableUntil) return "target-down";
        if (this.isSilent(now) && !this.silence.takeTrial(now)) return "target-down";
        if (run.req.leftMs <= DEADLINE_MARGIN_MS) return "deadline";
        this.cutoffController.recordArrival(run.level);
        if (!run.req.isNested && !this.cutoffController.isAdmitted(run.level)) return "overload";
        return undefined;
    }

    private enqueue(run: Run, now: number): void {
        const ahead = this.queue.countAhead(run.level);
        const expectedWaitMs = (ahead + 1) * this.serviceTime.ms / Math.max(1, this.limit);
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
        const onExpired = (expired: Run) => this.expire(expired);
        while (this.queue.length > 0 && this.slotsInUse < this.limitFor(true)) {
            const next = this.queue.peek(now, onExpired);
            if (next === undefined || !this.hasSlotFor(next)) return;
            this.start(this.queue.shift(now, onExpired)!, now);
        }
    }

    private hasSlotFor(run: Run): boolean {
        return this.slotsInUse < this.limitFor(run.req.isIdempotent);
    }

    private limitFor(isIdempotent: boolean): number {
        return this.target === undefined ? 0 : this.capacity?.limitFor(isIdempotent) ?? this.limit;
    }

    private start(run: Run, now: number): void {
        const target = this.target!;
        if (this.slotsInUse === 0) this.silence.recordProgress(now);
        run.concurrencyAtStart = ++this.slotsInUse;
        if (this.capacity !== undefined) {
            run.capacityPhase = this.capacity.phaseId;
            this.capacity.recordStart(this.slotsInUse);
        }
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
        if (result.kind === "response") this.recordResponse(run, now, result.head.notExecuted, hasFailed);
        this.serviceTime.recordOutcome(hasFailed);
        this.finish(run, outcome, result.kind === "lost" ? result.detail : undefined);
    }

    private recordResponse(run: Run, now: number, isNotExecuted: boolean, hasFailed: boolean): void {
        this.silence.recordProgress(now);
        if (isNotExecuted) return;
        this.options.crashGuard.onAnswered(run.req);
        const elapsedMs = now - run.startedAt;
        this.options.latencies.record("target", elapsedMs);
        this.serviceTime.recordResponse(elapsedMs, hasFailed, now);
        // The time of a run that made calls depends on other targets, too.
        if (this.capacity === undefined || hasFailed || run.calls !== undefined) return;
        this.capacity.record(run.req.route, elapsedMs, run.concurrencyAtStart, run.capacityPhase, now);
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

    private isSilent(now: number): boolean {
        return this.slotsInUse > 0 && this.silence.isSilent(now, this.serviceTime.ms);
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

function maxLimitOf(target: TargetRecord): number {
    return Math.max(1, Math.floor(target.slots * SLOT_UTILIZATION));
}
