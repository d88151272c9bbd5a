/**
 * Simulates overload of one bottleneck service in virtual time, without a network. Requests arrive at an entry node and
 * make sequential calls to the bottleneck. The production code decides on admission, load balancing, queueing and
 * Retry-After times. The result shows how many requests are served within their latency objectives.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import TinyQueue from "tinyqueue";
import { levelOf } from "../../src/policy/admissionLevel.ts";
import { CutoffController } from "../../src/policy/cutoffController.ts";
import { EntryCutoffs } from "../../src/policy/entryCutoff.ts";
import { chooseTarget } from "../../src/policy/loadBalancer.ts";
import type { Candidate } from "../../src/policy/loadBalancer.ts";
import { OverloadTracker } from "../../src/policy/overloadTracker.ts";
import { PriorityQueue } from "../../src/policy/priorityQueue.ts";
import { retryAfterMs } from "../../src/policy/retryAfter.ts";
import { RouteLatencies } from "../../src/policy/routeLatency.ts";

export interface TrafficClass {
    readonly name: string;
    readonly priority: number;
    readonly requestsPerSecond: number;
    /** Number of sequential calls that a request makes to the bottleneck. */
    readonly callsPerRequest: number;
    /** Latency objective. */
    readonly objectiveMs: number;
    readonly deadlineMs: number;
}

export interface SimulationOptions {
    readonly classes: readonly TrafficClass[];
    /** Relative speed of each target of the bottleneck: its mean service time is `meanServiceMs` divided by it. */
    readonly speeds: readonly number[];
    /** Slots per target. */
    readonly slots: number;
    readonly meanServiceMs: number;
    /** Simulated time during which requests arrive. */
    readonly seconds: number;
    readonly seed: number;
    /** Time between the end of a call and the next call of the same request. */
    readonly timeBetweenCallsMs?: number;
    /** Whether a refused caller retries once, after its Retry-After time. */
    readonly retriesAfterRefusal?: boolean;
}

export interface SimulationResult {
    readonly classes: ReadonlyMap<string, ClassResult>;
    /** Mean share of the slots in use after `WARM_UP_MS`, by target. */
    readonly utilizations: readonly number[];
}

export interface ClassResult {
    /** Requests that arrived, not counting retries. */
    offered: number;
    /** Requests served within the latency objective. */
    withinObjective: number;
    /** Requests served after the latency objective and before the deadline. */
    late: number;
    refused: number;
    /** Requests with a call that got no slot in time, and requests that completed after the deadline. */
    failed: number;
    /** Part of `withinObjective` that was served by a retry after a refusal. */
    retriedWithinObjective: number;
    /** Part of `late` that was served by a retry after a refusal. */
    retriedLate: number;
}

interface SimulatedRequest {
    readonly trafficClass: TrafficClass;
    readonly level: number;
    /** Time at which the caller sent the request; for a retry, the time of the refused request. */
    readonly firstSentAt: number;
    readonly admittedAt: number;
    readonly isRetry: boolean;
    callsLeft: number;
}

interface QueuedCall {
    readonly request: SimulatedRequest;
    readonly level: number;
    readonly expiresAt: number;
    readonly arrivedAt: number;
    /** The calling node's view of the chosen target. */
    readonly candidate: SimulatedCandidate;
}

const TICK_MS = 100;
/** Time that a request takes from the entry node through the intermediate services to the bottleneck. */
const CHAIN_DELAY_MS = 30;
/** Number of nodes that send calls to the bottleneck, each with its own view of the targets. */
const CALLER_NODE_COUNT = 3;
const WARM_UP_MS = 5000;
/** Weight of a new sample in the smoothed service time that a target reports. */
const SERVICE_TIME_SMOOTHING = 0.05;

class SimulatedTarget {
    readonly isUsable = true;
    readonly cutoffController = new CutoffController();
    readonly queue = new PriorityQueue<QueuedCall>();
    running = 0;
    serviceMs = 0;
    busySlotMs = 0;

    constructor(readonly speed: number, private readonly slots: number) {}

    get cutoff(): number {
        return this.cutoffController.cutoff;
    }

    get report(): { readonly limit: number; readonly serviceMs: number; } {
        return { limit: this.slots, serviceMs: this.serviceMs };
    }
}

/** One calling node's view of one target. */
class SimulatedCandidate implements Candidate {
    readonly isSelf = false;
    readonly isInLocalDataCentre = false;
    readonly avoidUntil = 0;
    inFlight = 0;
    inFlightAtReport = 0;
    report: Candidate["report"];
    reportedAt = 0;

    constructor(readonly target: SimulatedTarget, readonly slots: number) {}

    onResponse(now: number): void {
        const { cutoffController, running, queue, serviceMs } = this.target;
        this.inFlight--;
        this.inFlightAtReport = this.inFlight;
        this.reportedAt = now;
        this.report = {
            cutoff: cutoffController.cutoff,
            running,
            queued: queue.length,
            limit: this.slots,
            serviceMs,
            configVersion: 1,
        };
    }
}

export function simulateOverload(options: SimulationOptions): SimulationResult {
    return new Simulation(options).execute();
}

class Simulation {
    private readonly events = new TinyQueue<{ at: number; action: () => void; }>([], (a, b) => a.at - b.at);
    private readonly targets: readonly SimulatedTarget[];
    /** Each calling node's view of all targets. */
    private readonly candidatesByCallerNode: readonly (readonly SimulatedCandidate[])[];
    private readonly entryCutoffs: EntryCutoffs;
    private readonly latencies = new RouteLatencies();
    private readonly overloadTracker = new OverloadTracker();
    private readonly results = new Map<string, ClassResult>();
    private readonly generator;
    private now = 0;
    private lastId = 0;

    constructor(private readonly options: SimulationOptions) {
        this.generator = xoroshiro128plus(options.seed);
        this.targets = options.speeds.map(speed => new SimulatedTarget(speed, options.slots));
        this.candidatesByCallerNode = Array.from(
            { length: CALLER_NODE_COUNT },
            () => this.targets.map(target => new SimulatedCandidate(target, options.slots)),
        );
        this.entryCutoffs = new EntryCutoffs(() => this.targets);
    }

    execute(): SimulationResult {
        for (const trafficClass of this.options.classes) {
            this.results.set(trafficClass.name, {
                offered: 0,
                withinObjective: 0,
                late: 0,
                refused: 0,
                failed: 0,
                retriedWithinObjective: 0,
                retriedLate: 0,
            });
            this.schedule(
                this.interarrivalMs(trafficClass.requestsPerSecond),
                () => this.onArrival(trafficClass),
            );
        }
        this.schedule(TICK_MS, () => this.tick());
        for (let next = this.events.pop(); next !== undefined; next = this.events.pop()) {
            this.now = next.at;
            next.action();
        }
        const measuredMs = this.options.seconds * 1000 - WARM_UP_MS;
        const utilizations = this.targets.map(({ busySlotMs }) =>
            busySlotMs / (measuredMs * this.options.slots)
        );
        return { classes: this.results, utilizations };
    }

    /** Whether requests have stopped arriving; those in progress are still completed. */
    private get haveArrivalsEnded(): boolean {
        return this.now > this.options.seconds * 1000;
    }

    private schedule(delayMs: number, action: () => void): void {
        this.events.push({ at: this.now + delayMs, action });
    }

    /** Returns a number in (0, 1]. */
    private nextRandom(): number {
        return uniformInt(this.generator, 1, 1_000_000) / 1_000_000;
    }

    private interarrivalMs(requestsPerSecond: number): number {
        return -Math.log(this.nextRandom()) * 1000 / requestsPerSecond;
    }

    private onArrival(trafficClass: TrafficClass): void {
        if (this.haveArrivalsEnded) return;
        this.schedule(
            this.interarrivalMs(trafficClass.requestsPerSecond),
            () => this.onArrival(trafficClass),
        );
        this.results.get(trafficClass.name)!.offered++;
        this.submit(trafficClass, this.now, false);
    }

    private submit(trafficClass: TrafficClass, firstSentAt: number, isRetry: boolean): void {
        const level = levelOf(trafficClass.priority, `${++this.lastId}`);
        this.entryCutoffs.recordRequest(level);
        if (level > this.entryCutoffs.cutoffOf("bottleneck", this.now)) {
            this.refuse(trafficClass, firstSentAt, isRetry);
            return;
        }
        const request = {
            trafficClass,
            level,
            firstSentAt,
            admittedAt: this.now,
            isRetry,
            callsLeft: trafficClass.callsPerRequest,
        };
        this.schedule(CHAIN_DELAY_MS, () => this.sendCall(request));
    }

    private refuse(trafficClass: TrafficClass, firstSentAt: number, isRetry: boolean): void {
        if (isRetry || this.options.retriesAfterRefusal !== true) {
            this.results.get(trafficClass.name)!.refused++;
            return;
        }
        const leftMs = firstSentAt + trafficClass.deadlineMs - this.now;
        const slackMs = trafficClass.objectiveMs - this.latencies.meanMs(trafficClass.name);
        const overloadDurationMs = this.overloadTracker.recordRefusal(trafficClass.name, this.now);
        const context = { leftMs, slackMs, overloadDurationMs };
        const waitMs = retryAfterMs("overload", context, () => this.nextRandom());
        this.schedule(waitMs, () => this.submit(trafficClass, firstSentAt, true));
    }

    private sendCall(request: SimulatedRequest): void {
        // The factor 0.999_999 keeps random numbers below 1, so that an index is never out of range.
        const candidates = this
            .candidatesByCallerNode[Math.floor(this.nextRandom() * 0.999_999 * CALLER_NODE_COUNT)]!;
        const candidate =
            candidates[chooseTarget(candidates, this.now, () => this.nextRandom() * 0.999_999)]!;
        const { target } = candidate;
        const leftMs = request.firstSentAt + request.trafficClass.deadlineMs - this.now;
        // A nested call may wait for a slot for 0.6 of the time left, as in the dispatcher of the mesh.
        const queuedCall = {
            request,
            candidate,
            level: request.level,
            arrivedAt: this.now,
            expiresAt: this.now + leftMs * 0.6,
        };
        candidate.inFlight++;
        target.cutoffController.recordArrival(request.level);
        if (target.running < this.options.slots && target.queue.length === 0) {
            this.startCall(target, queuedCall);
        }
        else target.queue.push(queuedCall);
    }

    private startCall(target: SimulatedTarget, queuedCall: QueuedCall): void {
        target.running++;
        target.cutoffController.recordStart(this.now - queuedCall.arrivedAt);
        const serviceMs = this.options.meanServiceMs / target.speed * (0.5 + this.nextRandom());
        this.schedule(serviceMs, () => {
            target.running--;
            target.serviceMs = target.serviceMs === 0
                ? serviceMs
                : target.serviceMs + SERVICE_TIME_SMOOTHING * (serviceMs - target.serviceMs);
            if (this.now > WARM_UP_MS && !this.haveArrivalsEnded) target.busySlotMs += serviceMs;
            this.startNextCall(target);
            queuedCall.candidate.onResponse(this.now);
            this.finishCall(queuedCall.request);
        });
    }

    private startNextCall(target: SimulatedTarget): void {
        const next = target.queue.shift(this.now, queuedCall => this.expireCall(target, queuedCall));
        if (next !== undefined) this.startCall(target, next);
    }

    private expireCall(target: SimulatedTarget, queuedCall: QueuedCall): void {
        target.cutoffController.recordUnserved();
        queuedCall.candidate.onResponse(this.now);
        this.results.get(queuedCall.request.trafficClass.name)!.failed++;
    }

    private finishCall(request: SimulatedRequest): void {
        if (--request.callsLeft > 0) {
            this.schedule(this.options.timeBetweenCallsMs ?? 0, () => this.sendCall(request));
            return;
        }
        const result = this.results.get(request.trafficClass.name)!;
        this.latencies.record(request.trafficClass.name, this.now - request.admittedAt);
        const latencyMs = this.now - request.firstSentAt;
        if (latencyMs <= request.trafficClass.objectiveMs) {
            result.withinObjective++;
            if (request.isRetry) result.retriedWithinObjective++;
        }
        else if (latencyMs <= request.trafficClass.deadlineMs) {
            result.late++;
            if (request.isRetry) result.retriedLate++;
        }
        else result.failed++;
    }

    private tick(): void {
        for (const target of this.targets) {
            for (const queuedCall of target.queue.removeExpired(this.now)) {
                this.expireCall(target, queuedCall);
            }
            target.cutoffController.endWindow(
                target.queue.length / this.options.slots,
                this.entryCutoffs.cutoffOf("bottleneck", this.now),
            );
        }
        if (!this.haveArrivalsEnded) this.schedule(TICK_MS, () => this.tick());
    }
}
