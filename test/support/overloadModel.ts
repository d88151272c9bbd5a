/**
 * A model in virtual time of one bottleneck service below an entry: runs make calls to it one after the other, the
 * decisions are those of the product. It shows what callers get under a load, without a network.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import TinyQueue from "tinyqueue";
import { chooseTarget } from "../../src/policy/balancer.ts";
import type { Candidate } from "../../src/policy/balancer.ts";
import { Cutoff } from "../../src/policy/cutoff.ts";
import { EntryCutoffs } from "../../src/policy/entryCutoff.ts";
import { levelOf } from "../../src/policy/level.ts";
import { OverloadSpans } from "../../src/policy/overloadSpans.ts";
import { retryAfterMs } from "../../src/policy/retryAfter.ts";
import { RouteLatencies } from "../../src/policy/routeLatency.ts";
import { PriorityQueue } from "../../src/policy/runQueue.ts";

export interface ModelClass {
    readonly name: string;
    readonly priority: number;
    readonly perSecond: number;
    /** Calls to the bottleneck, one after the other. */
    readonly calls: number;
    readonly objectiveMs: number;
    readonly deadlineMs: number;
}

export interface ModelOptions {
    readonly classes: readonly ModelClass[];
    /** Speed of each target of the bottleneck: work takes `workMs` divided by it. */
    readonly speeds: readonly number[];
    readonly slots: number;
    readonly workMs: number;
    readonly seconds: number;
    readonly seed: number;
    /** Time that a run works between two of its calls, ms. */
    readonly betweenCallsMs?: number;
    /** Whether a caller that was refused comes back once, when it was told to. */
    readonly isReturning?: boolean;
}

export interface ModelResult {
    readonly classes: ReadonlyMap<string, ClassResult>;
    /** Mean share of the slots in use, from `SETTLED_MS` on, by target. */
    readonly use: readonly number[];
}

export interface ClassResult {
    asked: number;
    inTime: number;
    late: number;
    refused: number;
    failed: number;
    /** Of those served, the ones that were refused at first. */
    returnedInTime: number;
    returnedLate: number;
}

interface Request {
    readonly kind: ModelClass;
    readonly level: number;
    /** Time of the caller's first try. */
    readonly startedAt: number;
    readonly enteredAt: number;
    readonly isReturned: boolean;
    callsLeft: number;
}

interface Job {
    readonly request: Request;
    readonly level: number;
    readonly waitUntil: number;
    readonly arrivedAt: number;
    /** What the caller knows of the target that it chose. */
    readonly choice: ModelCandidate;
}

const TICK_MS = 100;
/** Time from the entry to the bottleneck, over the services between. */
const CHAIN_MS = 30;
/** Nodes that send calls to the bottleneck, each with its own view of the targets. */
const CALLERS = 3;
const SETTLED_MS = 5000;
/** Weight of a new sample in the service time that a target reports. */
const SERVICE_TIME_SMOOTHING = 0.05;

class ModelTarget {
    readonly isUsable = true;
    readonly control = new Cutoff();
    readonly queue = new PriorityQueue<Job>();
    running = 0;
    serviceMs = 0;
    slotMs = 0;

    constructor(readonly speed: number, private readonly slots: number) {}

    get cutoff(): number {
        return this.control.value;
    }

    get report(): { readonly limit: number; readonly serviceMs: number; } {
        return { limit: this.slots, serviceMs: this.serviceMs };
    }
}

/** What one caller knows of one target. */
class ModelCandidate implements Candidate {
    readonly isLocalHost = false;
    readonly isLocalDataCentre = false;
    readonly avoidUntil = 0;
    pending = 0;
    pendingAtReport = 0;
    report: Candidate["report"];
    reportedAt = 0;

    constructor(readonly target: ModelTarget, readonly slots: number) {}

    onAnswer(now: number): void {
        const { control, running, queue, serviceMs } = this.target;
        this.pending--;
        this.pendingAtReport = this.pending;
        this.reportedAt = now;
        this.report = {
            cutoff: control.value,
            running,
            queued: queue.length,
            limit: this.slots,
            serviceMs,
            configVersion: 1,
        };
    }
}

export function playModel(options: ModelOptions): ModelResult {
    return new Model(options).play();
}

class Model {
    private readonly events = new TinyQueue<{ at: number; run: () => void; }>([], (a, b) => a.at - b.at);
    private readonly targets: readonly ModelTarget[];
    private readonly callers: readonly (readonly ModelCandidate[])[];
    private readonly entry: EntryCutoffs;
    private readonly latencies = new RouteLatencies();
    private readonly overloads = new OverloadSpans();
    private readonly results = new Map<string, ClassResult>();
    private readonly random;
    private now = 0;
    private ids = 0;

    constructor(private readonly options: ModelOptions) {
        this.random = xoroshiro128plus(options.seed);
        this.targets = options.speeds.map(speed => new ModelTarget(speed, options.slots));
        this.callers = Array.from(
            { length: CALLERS },
            () => this.targets.map(target => new ModelCandidate(target, options.slots)),
        );
        this.entry = new EntryCutoffs(() => this.targets);
    }

    play(): ModelResult {
        for (const kind of this.options.classes) {
            this.results.set(kind.name, {
                asked: 0,
                inTime: 0,
                late: 0,
                refused: 0,
                failed: 0,
                returnedInTime: 0,
                returnedLate: 0,
            });
            this.at(this.gap(kind.perSecond), () => this.arrive(kind));
        }
        this.at(TICK_MS, () => this.tick());
        for (let next = this.events.pop(); next !== undefined; next = this.events.pop()) {
            this.now = next.at;
            next.run();
        }
        const settledMs = this.options.seconds * 1000 - SETTLED_MS;
        const use = this.targets.map(({ slotMs }) => slotMs / (settledMs * this.options.slots));
        return { classes: this.results, use };
    }

    private get isOver(): boolean {
        return this.now > this.options.seconds * 1000;
    }

    private at(delayMs: number, run: () => void): void {
        this.events.push({ at: this.now + delayMs, run });
    }

    private uniform(): number {
        return uniformInt(this.random, 1, 1_000_000) / 1_000_000;
    }

    private gap(perSecond: number): number {
        return -Math.log(this.uniform()) * 1000 / perSecond;
    }

    private arrive(kind: ModelClass): void {
        if (this.isOver) return;
        this.at(this.gap(kind.perSecond), () => this.arrive(kind));
        this.results.get(kind.name)!.asked++;
        this.enter(kind, this.now, false);
    }

    private enter(kind: ModelClass, startedAt: number, isReturned: boolean): void {
        const level = levelOf(kind.priority, `${++this.ids}`);
        this.entry.noteRequest(level);
        if (level > this.entry.cutoffOf("bottleneck", this.now)) {
            this.refuse(kind, startedAt, isReturned);
            return;
        }
        const request = { kind, level, startedAt, enteredAt: this.now, isReturned, callsLeft: kind.calls };
        this.at(CHAIN_MS, () => this.call(request));
    }

    private refuse(kind: ModelClass, startedAt: number, isReturned: boolean): void {
        if (isReturned || this.options.isReturning !== true) {
            this.results.get(kind.name)!.refused++;
            return;
        }
        const leftMs = startedAt + kind.deadlineMs - this.now;
        const slackMs = kind.objectiveMs - this.latencies.meanMs(kind.name);
        const overloadMs = this.overloads.note(kind.name, this.now);
        const context = { leftMs, slackMs, overloadMs };
        const waitMs = retryAfterMs("overload", context, () => this.uniform());
        this.at(waitMs, () => this.enter(kind, startedAt, true));
    }

    private call(request: Request): void {
        const candidates = this.callers[Math.floor(this.uniform() * 0.999_999 * CALLERS)]!;
        const choice = candidates[chooseTarget(candidates, this.now, () => this.uniform() * 0.999_999)]!;
        const { target } = choice;
        const leftMs = request.startedAt + request.kind.deadlineMs - this.now;
        const job = {
            request,
            choice,
            level: request.level,
            arrivedAt: this.now,
            waitUntil: this.now + leftMs * 0.6,
        };
        choice.pending++;
        target.control.noteArrival(request.level);
        if (target.running < this.options.slots && target.queue.length === 0) this.start(target, job);
        else target.queue.push(job);
    }

    private start(target: ModelTarget, job: Job): void {
        target.running++;
        target.control.noteStart(this.now - job.arrivedAt);
        const tookMs = this.options.workMs / target.speed * (0.5 + this.uniform());
        this.at(tookMs, () => {
            target.running--;
            target.serviceMs = target.serviceMs === 0
                ? tookMs
                : target.serviceMs + SERVICE_TIME_SMOOTHING * (tookMs - target.serviceMs);
            if (this.now > SETTLED_MS && !this.isOver) target.slotMs += tookMs;
            this.startNext(target);
            job.choice.onAnswer(this.now);
            this.finish(job.request);
        });
    }

    private startNext(target: ModelTarget): void {
        const next = target.queue.shift(this.now, job => this.fail(target, job));
        if (next !== undefined) this.start(target, next);
    }

    private fail(target: ModelTarget, job: Job): void {
        target.control.noteLost();
        job.choice.onAnswer(this.now);
        this.results.get(job.request.kind.name)!.failed++;
    }

    private finish(request: Request): void {
        if (--request.callsLeft > 0) {
            this.at(this.options.betweenCallsMs ?? 0, () => this.call(request));
            return;
        }
        const result = this.results.get(request.kind.name)!;
        this.latencies.note(request.kind.name, this.now - request.enteredAt);
        const tookMs = this.now - request.startedAt;
        if (tookMs <= request.kind.objectiveMs) {
            result.inTime++;
            if (request.isReturned) result.returnedInTime++;
        }
        else if (tookMs <= request.kind.deadlineMs) {
            result.late++;
            if (request.isReturned) result.returnedLate++;
        }
        else result.failed++;
    }

    private tick(): void {
        for (const target of this.targets) {
            for (const job of target.queue.takeExpired(this.now)) this.fail(target, job);
            target.control.tick(
                target.queue.length / this.options.slots,
                this.entry.cutoffOf("bottleneck", this.now),
            );
        }
        if (!this.isOver) this.at(TICK_MS, () => this.tick());
    }
}
