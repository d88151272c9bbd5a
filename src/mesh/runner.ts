/**
 * The side beside the target: admits requests, lets them wait for a slot, sends them and tells what became of them.
 * All requests of a target pass here, so its use of slots is known exactly and the target itself never has to shed.
 */
import { CutoffController } from "../policy/cutoffController.ts";
import { PriorityQueue } from "../policy/priorityQueue.ts";
import type { QueueItem } from "../policy/priorityQueue.ts";
import { steadyNow } from "./clock.ts";
import type { Counters } from "./counters.ts";
import type { EventLog } from "./eventLog.ts";
import type { LatencySamples } from "./latencySamples.ts";
import { RunLog } from "./runLog.ts";
import { TargetPool } from "./targetPool.ts";
import type { Reply, Sending, TargetPoolOptions } from "./targetPool.ts";
import type { FailureReason, LoadReport, Outcome, RefusalReason, RunRequest, TargetRecord } from "./types.ts";

export interface RunListener {
    onDone(outcome: Outcome): void;
    /** The target has answered nothing for a while. */
    onSilent(): void;
}

export interface Run extends QueueItem {
    readonly req: RunRequest;
    readonly isTraced: boolean;
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    readonly listener: RunListener;
    startedAt: number;
    /** The request at the target, once it was sent. */
    sending: Sending | undefined;
    isDone: boolean;
    isToldSilent: boolean;
}

export interface RunnerOptions extends TargetPoolOptions {
    readonly counters: Counters;
    readonly latencies: LatencySamples;
    readonly log: EventLog;
    /** Level up to which entries admit requests for a service. */
    readonly entryLevel: (service: string) => number;
}

/** Part of the announced slots that is used: targets slow down when they are full, and probes need a slot too. */
const SLOT_SHARE = 0.95;
const SERVICE_TIME_SMOOTHING = 0.05;
/** How long a target that refuses connections is left alone; a heartbeat ends it. */
const DOWN_MS = 300;
/** A target that answers nothing for this long, and for several service times, is taken as silent. */
const SILENT_MS = 700;
const SILENT_SERVICE_TIMES = 6;
const TRIAL_EVERY_MS = 300;
/** A target that does not answer a probe in this time is left to its next heartbeat. */
const PROBE_TIMEOUT_MS = 2000;
/** How long after its deadline a run without an answer is given up. */
const OVERDUE_MS = 400;
/** The target gets slightly less time than is left, so that its own timeout answer still arrives in time. */
const DEADLINE_MARGIN_MS = 12;
/** A target that fails part of its requests counts as slower: at a tenth, as 1.8 times as slow. */
const FAILURE_WEIGHT = 8;
const FAILURE_SMOOTHING = 0.04;
const METHODS_WITH_BODY: readonly string[] = ["POST", "PUT", "PATCH"];

export class Runner {
    private readonly cutoff = new CutoffController();
    private readonly queue = new PriorityQueue<Run>();
    private readonly running = new Map<string, Run>();
    private readonly pool: TargetPool;
    private readonly counters: Counters;
    private readonly log: RunLog;
    private target: TargetRecord | undefined;
    private inUse = 0;
    private serviceMs = 0;
    private failureRate = 0;
    private downUntil = 0;
    private lastProgressAt = 0;
    private lastTrialAt = 0;
    private sweepTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: RunnerOptions) {
        this.pool = new TargetPool(options);
        this.counters = options.counters;
        this.log = new RunLog(options.log, () => this.load(0));
    }

    get limit(): number {
        return this.target === undefined ? 0 : Math.max(1, Math.floor(this.target.slots * SLOT_SHARE));
    }

    get activeCount(): number {
        return this.inUse + this.queue.length;
    }

    /** A run that is at the target, by the id of its request. */
    runOf(requestId: string): Run | undefined {
        return this.running.get(requestId);
    }

    /** Level up to which requests are admitted at present. */
    get cutoffLevel(): number {
        return this.cutoff.level;
    }

    load(configVersion: number): LoadReport {
        return {
            cutoff: this.cutoff.level,
            running: this.inUse,
            queued: this.queue.length,
            limit: this.limit,
            serviceMs: this.serviceMs * (1 + FAILURE_WEIGHT * this.failureRate),
            configVersion,
        };
    }

    /** A heartbeat of the target: it is reachable and says what it is. */
    setTarget(target: TargetRecord | undefined): void {
        const isOther = target?.id !== this.target?.id;
        this.target = target;
        if (isOther) this.startAnew();
        this.downUntil = 0;
        if (target === undefined || target.state !== "ready") this.refuseQueued("draining");
        this.startQueued();
    }

    submit(req: RunRequest, listener: RunListener): Run {
        const now = steadyNow();
        const run: Run = {
            req,
            isTraced: this.options.log.isTraced(req.requestId),
            level: req.level,
            arrivedAt: now,
            deadlineAt: now + req.leftMs,
            waitUntil: now + Math.min(req.queueMs, req.leftMs),
            listener,
            startedAt: 0,
            sending: undefined,
            isDone: false,
            isToldSilent: false,
        };
        const refusal = this.refusalOf(run, now);
        if (refusal !== undefined) this.refuse(run, refusal);
        else if (this.inUse < this.limit && this.queue.length === 0) this.start(run, now);
        else this.enqueue(run, now);
        return run;
    }

    /**
     * The caller no longer waits. A request that must not be repeated is left to end at the target, unless the target
     * has ended it and is sending an answer.
     */
    cancel(run: Run): void {
        if (run.isDone) return;
        if (run.startedAt === 0) {
            this.queue.remove(run);
            run.isDone = true;
            this.log.cancelled(run, steadyNow());
            return;
        }
        if (!run.req.isIdempotent && run.sending?.isAnswering() !== true) return;
        this.log.cancelled(run, steadyNow());
        run.sending?.breakOff();
        this.end(run);
    }

    /** Asks the target whether it is well; `onResult` gets its id if so. */
    probe(path: string, onResult: (healthyId: string | undefined) => void): void {
        const { host, port } = this.options;
        const timer = setTimeout(() => {
            sending.breakOff();
            onResult(undefined);
        }, PROBE_TIMEOUT_MS);
        const sending = this.pool.send({
            requestId: "",
            method: "GET",
            isIdempotent: true,
            bytes: Buffer.from(`GET ${path} HTTP/1.1\r\nHost: ${host}:${port}\r\n\r\n`, "latin1"),
            onReply: reply => {
                clearTimeout(timer);
                const isHealthy = reply.kind === "response" && reply.head.status === 200;
                onResult(isHealthy ? reply.head.instanceId : undefined);
            },
        });
    }

    /** Called every 100 ms. */
    tick(now: number): void {
        const limit = Math.max(1, this.limit);
        this.cutoff.endWindow(this.queue.length / limit, this.options.entryLevel(this.target?.service ?? ""));
        this.pool.closeStale(now);
        this.giveUpOverdue(now);
        this.tellSilent(now);
    }

    close(): void {
        this.pool.closeIdle();
        if (this.sweepTimer !== undefined) clearInterval(this.sweepTimer);
    }

    private startAnew(): void {
        this.serviceMs = 0;
        this.failureRate = 0;
        this.lastProgressAt = steadyNow();
        this.pool.closeIdle();
    }

    private refusalOf(run: Run, now: number): RefusalReason | undefined {
        const { target } = this;
        if (target === undefined || target.state === "gone") return "no-target";
        if (target.state === "draining") return "draining";
        if (target.service !== run.req.service) return "wrong-service";
        if (now < this.downUntil || this.isSilentFor(now)) return "target-down";
        if (run.req.leftMs <= DEADLINE_MARGIN_MS) return "deadline";
        this.cutoff.recordArrival(run.level);
        if (!run.req.isNested && !this.cutoff.isAdmitted(run.level)) return "overload";
        return undefined;
    }

    private enqueue(run: Run, now: number): void {
        const ahead = this.queue.countAhead(run.level);
        const expectedWaitMs = (ahead + 1) * this.serviceMs / Math.max(1, this.limit);
        if (now + expectedWaitMs > run.waitUntil) {
            this.cutoff.recordUnserved();
            this.refuse(run, "overload");
            return;
        }
        this.queue.push(run);
        this.log.queued(run, now, expectedWaitMs);
        this.sweepTimer ??= setInterval(() => this.sweep(), 20);
    }

    private sweep(): void {
        for (const run of this.queue.takeExpired(steadyNow())) this.expire(run);
        if (this.queue.length > 0 || this.sweepTimer === undefined) return;
        clearInterval(this.sweepTimer);
        this.sweepTimer = undefined;
    }

    private expire(run: Run): void {
        this.cutoff.recordUnserved();
        this.refuse(run, "queue-timeout");
    }

    private refuse(run: Run, reason: RefusalReason): void {
        run.isDone = true;
        this.counters.countRunRefused(reason);
        this.log.refused(run, steadyNow(), reason);
        run.listener.onDone({ kind: "not-run", reason });
    }

    private refuseQueued(reason: RefusalReason): void {
        for (const run of this.queue.takeAll()) this.refuse(run, reason);
    }

    private startQueued(): void {
        const now = steadyNow();
        while (this.inUse < this.limit && this.queue.length > 0) {
            const run = this.queue.shift(now, expired => this.expire(expired));
            if (run !== undefined) this.start(run, now);
        }
    }

    private start(run: Run, now: number): void {
        const target = this.target!;
        if (this.inUse === 0) this.lastProgressAt = now;
        this.inUse++;
        this.cutoff.recordStart(now - run.arrivedAt);
        this.counters.runsStarted++;
        this.counters.runsWaitedMs += now - run.arrivedAt;
        run.startedAt = now;
        this.options.latencies.record("queue", now - run.arrivedAt);
        this.log.started(run, now);
        this.running.set(run.req.requestId, run);
        run.sending = this.pool.send({
            requestId: run.req.requestId,
            method: run.req.method,
            isIdempotent: run.req.isIdempotent,
            bytes: this.encode(run, target.id, now),
            onReply: reply => this.onReply(run, reply),
        });
    }

    private encode(run: Run, targetId: string, now: number): Buffer {
        const { req } = run;
        const { names } = this.options.protocol;
        const leftMs = Math.max(1, Math.floor(run.deadlineAt - now - DEADLINE_MARGIN_MS));
        const length = req.body.length > 0 || METHODS_WITH_BODY.includes(req.method)
            ? `Content-Length: ${req.body.length}\r\n`
            : "";
        const head = `${req.method} ${req.path} HTTP/1.1\r\n${req.headers}${names.deadlineMs}: ${leftMs}\r\n`
            + `${names.targetInstance}: ${targetId}\r\n${names.callerService}: ${req.callerService}\r\n${length}\r\n`;
        if (req.body.length === 0) return Buffer.from(head, "latin1");
        const buf = Buffer.allocUnsafe(head.length + req.body.length);
        buf.write(head, 0, "latin1");
        req.body.copy(buf, head.length);
        return buf;
    }

    private onReply(run: Run, reply: Reply): void {
        if (run.isDone) return;
        const now = steadyNow();
        if (reply.kind === "response") this.noteProgress(run, now, reply.head.notExecuted);
        if (reply.kind === "unreachable") {
            this.downUntil = now + DOWN_MS;
            this.finish(run, { kind: "not-run", reason: "target-down" });
            this.refuseQueued("target-down");
            return;
        }
        const outcome = outcomeOf(reply, run.req.isIdempotent);
        const hasFailed = outcome.kind !== "answer" || outcome.status >= 500;
        this.failureRate += FAILURE_SMOOTHING * ((hasFailed ? 1 : 0) - this.failureRate);
        this.finish(run, outcome, reply.kind === "lost" ? reply.detail : undefined);
    }

    private noteProgress(run: Run, now: number, wasShed: boolean): void {
        this.lastProgressAt = now;
        if (wasShed) return;
        const took = now - run.startedAt;
        this.options.latencies.record("target", took);
        this.serviceMs = this.serviceMs === 0
            ? took
            : this.serviceMs + SERVICE_TIME_SMOOTHING * (took - this.serviceMs);
    }

    private finish(run: Run, outcome: Outcome, detail?: string): void {
        this.log.ended(run, steadyNow(), outcome, detail);
        this.end(run);
        run.listener.onDone(outcome);
    }

    private end(run: Run): void {
        if (run.isDone) return;
        run.isDone = true;
        this.inUse--;
        this.counters.slotMs += steadyNow() - run.startedAt;
        if (this.running.get(run.req.requestId) === run) this.running.delete(run.req.requestId);
        if (this.queue.length > 0) this.startQueued();
    }

    private giveUpOverdue(now: number): void {
        for (const run of this.running.values()) {
            if (now > run.deadlineAt + OVERDUE_MS) this.giveUp(run, "timeout");
        }
    }

    private giveUp(run: Run, reason: FailureReason): void {
        run.sending?.breakOff();
        this.finish(run, { kind: "unknown", reason });
    }

    /** Whether the target has stopped answering; now and then one request may try. */
    private isSilentFor(now: number): boolean {
        if (!this.isSilent(now)) return false;
        if (now - this.lastTrialAt < TRIAL_EVERY_MS) return true;
        this.lastTrialAt = now;
        return false;
    }

    private isSilent(now: number): boolean {
        if (this.inUse === 0) return false;
        return now - this.lastProgressAt > Math.max(SILENT_MS, SILENT_SERVICE_TIMES * this.serviceMs);
    }

    /**
     * What waits is refused. What runs is left to run, since silence does not tell whether the target is at work, but
     * its callers may send it elsewhere as well.
     */
    private tellSilent(now: number): void {
        if (!this.isSilent(now)) return;
        this.refuseQueued("target-down");
        for (const run of this.running.values()) {
            if (!run.req.isIdempotent || run.isToldSilent || now - run.startedAt <= SILENT_MS) continue;
            run.isToldSilent = true;
            run.listener.onSilent();
        }
    }
}

function outcomeOf(reply: Exclude<Reply, { kind: "unreachable"; }>, isIdempotent: boolean): Outcome {
    if (reply.kind === "lost") return { kind: "unknown", reason: reply.reason };
    const { head, body } = reply;
    if (head.status === 421) return { kind: "not-run", reason: "wrong-instance" };
    if (head.notExecuted) return { kind: "not-run", reason: "target-shed" };
    if (head.status < 300 && head.seal === undefined) return { kind: "unknown", reason: "bad-answer" };
    const claimsNotRun = head.status === 429 || head.status === 503 || head.status === 408;
    if (claimsNotRun && !isIdempotent && head.seal === undefined) {
        return { kind: "unknown", reason: "bad-answer" };
    }
    return { kind: "answer", status: head.status, headers: head.headers, body };
}
