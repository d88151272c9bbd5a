/**
 * Simulates overload of one bottleneck service in virtual time, without a network. Requests arrive at an entry node and
 * make sequential calls to the bottleneck. The production code decides on admission, load balancing, queueing and
 * Retry-After times. The result shows how many requests are served within their latency objectives.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import TinyQueue from "tinyqueue";
import { levelOf } from "../../src/policy/admissionLevel.ts";
import { EntryCutoffs } from "../../src/policy/entryCutoff.ts";
import { chooseTarget } from "../../src/policy/loadBalancer.ts";
import { OverloadTracker } from "../../src/policy/overloadTracker.ts";
import { retryAfterMs } from "../../src/policy/retryAfter.ts";
import { RouteLatencies } from "../../src/policy/routeLatency.ts";
import { SimulatedCandidate, SimulatedTarget } from "./simulatedTarget.ts";
import type { QueuedCall, SimulatedRequest } from "./simulatedTarget.ts";

export interface TrafficClass {
    readonly name: string;
    readonly priority: number;
    readonly requestsPerSecond: number;
    /** Number of sequential calls that a request makes to the bottleneck. */
    readonly callsPerRequest: number;
    /** Latency objective. */
    readonly objectiveMs: number;
    readonly deadlineMs: number;
    /** Defaults to true. */
    readonly isIdempotent?: boolean;
    /** Service time relative to `meanServiceMs`; defaults to 1. */
    readonly serviceFactor?: number;
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
    /** Whether the limits of the targets are learned; otherwise, they are the maximum. */
    readonly learnsCapacity?: boolean;
    /** Maximum limit as a share of the slots; defaults to 1. */
    readonly maxLimitShare?: number;
    /** Number of nodes that send calls, each with its own view of the targets; defaults to 3. */
    readonly callerNodeCount?: number;
    /** Data centre of each target; the nodes that send calls take turns among these. By default, all are remote. */
    readonly dataCentres?: readonly string[];
    /** Factor on the service time of a call that starts as one of `running` at a target. */
    readonly slowdown?: (target: number, now: number, running: number) => number;
    /** Share of the calls to a target that fail after `FAILURE_MS`. */
    readonly failureShare?: (target: number) => number;
    /** Factor on the request rates. */
    readonly rateFactor?: (now: number) => number;
    /** Called every 100 ms. */
    readonly onTick?: (now: number, targets: readonly TargetState[]) => void;
}

export interface TargetState {
    readonly limit: number;
    /** Calls of requests that are not idempotent, started so far. */
    readonly unsafeStarts: number;
    readonly starts: number;
}

export interface SimulationResult {
    readonly classes: ReadonlyMap<string, ClassResult>;
    /** Mean share of the slots in use after `WARM_UP_MS`, by target. */
    readonly utilizations: readonly number[];
    /** State of the targets at the end. */
    readonly targets: readonly TargetState[];
    /** Share of the calls that went to another data centre. */
    readonly remoteShare: number;
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
    /** Sum of the latencies of the requests served before the deadline. */
    latencySumMs: number;
}

const TICK_MS = 100;
/** Time that a request takes from the entry node through the intermediate services to the bottleneck. */
const CHAIN_DELAY_MS = 30;
const CALLER_NODE_COUNT = 3;
const FAILURE_MS = 2;
const WARM_UP_MS = 5000;

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
    private calls = 0;
    private remoteCalls = 0;

    constructor(private readonly options: SimulationOptions) {
        this.generator = xoroshiro128plus(options.seed);
        const maxLimit = Math.floor(options.slots * (options.maxLimitShare ?? 1));
        this.targets = options.speeds.map((speed, index) =>
            new SimulatedTarget(index, speed, maxLimit, options)
        );
        const { dataCentres } = options;
        this.candidatesByCallerNode = Array.from(
            { length: options.callerNodeCount ?? CALLER_NODE_COUNT },
            (_, node) =>
                this.targets.map(target =>
                    new SimulatedCandidate(
                        target,
                        options.slots,
                        dataCentres !== undefined
                            && dataCentres[target.index] === dataCentres[node % dataCentres.length],
                    )
                ),
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
                latencySumMs: 0,
            });
            this.scheduleArrival(trafficClass);
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
        const remoteShare = this.remoteCalls / this.calls;
        return { classes: this.results, utilizations, targets: this.targets, remoteShare };
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

    private scheduleArrival(trafficClass: TrafficClass): void {
        const rate = trafficClass.requestsPerSecond * (this.options.rateFactor?.(this.now) ?? 1);
        this.schedule(this.interarrivalMs(rate), () => this.onArrival(trafficClass));
    }

    private onArrival(trafficClass: TrafficClass): void {
        if (this.haveArrivalsEnded) return;
        this.scheduleArrival(trafficClass);
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
        const nodes = this.candidatesByCallerNode;
        const candidates = nodes[Math.floor(this.nextRandom() * 0.999_999 * nodes.length)]!;
        const candidate = candidates[this.chooseTarget(candidates, request)]!;
        const { target } = candidate;
        this.calls++;
        if (!candidate.isInLocalDataCentre) this.remoteCalls++;
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
        if (target.hasSlotFor(queuedCall) && target.queue.length === 0) this.startCall(target, queuedCall);
        else target.queue.push(queuedCall);
    }

    private chooseTarget(
        candidates: readonly SimulatedCandidate[],
        { trafficClass }: SimulatedRequest,
    ): number {
        const policy = this.options.learnsCapacity !== true
            ? "ignore"
            : trafficClass.isIdempotent === false
            ? "remember"
            : "explore";
        return chooseTarget(candidates, this.now, () => this.nextRandom() * 0.999_999, policy);
    }

    private startCall(target: SimulatedTarget, queuedCall: QueuedCall): void {
        const { trafficClass } = queuedCall.request;
        const running = ++target.running;
        const phaseId = target.capacity?.phaseId ?? 0;
        target.capacity?.recordStart(running);
        target.starts++;
        if (trafficClass.isIdempotent === false) target.unsafeStarts++;
        target.cutoffController.recordStart(this.now - queuedCall.arrivedAt);
        const { meanServiceMs, slowdown, failureShare } = this.options;
        const factor = (trafficClass.serviceFactor ?? 1) * (slowdown?.(target.index, this.now, running) ?? 1);
        const hasFailed = failureShare !== undefined && this.nextRandom() <= failureShare(target.index);
        const serviceMs = hasFailed
            ? FAILURE_MS
            : meanServiceMs / target.speed * factor * (0.5 + this.nextRandom());
        this.schedule(serviceMs, () => {
            target.running--;
            target.serviceTime.recordResponse(serviceMs, hasFailed, this.now);
            target.serviceTime.recordOutcome(hasFailed);
            if (!hasFailed) target.capacity?.record(trafficClass.name, serviceMs, running, phaseId, this.now);
            if (this.now > WARM_UP_MS && !this.haveArrivalsEnded) target.busySlotMs += serviceMs;
            this.startNextCalls(target);
            queuedCall.candidate.onResponse(this.now);
            if (hasFailed) this.results.get(trafficClass.name)!.failed++;
            else this.finishCall(queuedCall.request);
        });
    }

    private startNextCalls(target: SimulatedTarget): void {
        const onExpired = (queuedCall: QueuedCall) => this.expireCall(target, queuedCall);
        for (;;) {
            const next = target.queue.peek(this.now, onExpired);
            if (next === undefined || !target.hasSlotFor(next)) return;
            this.startCall(target, target.queue.shift(this.now, onExpired)!);
        }
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
        if (latencyMs <= request.trafficClass.deadlineMs) result.latencySumMs += latencyMs;
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
            target.capacity?.tick(this.now, target.running, target.queue.length, target.serviceTime.ms);
            // A higher limit takes effect with the next response or arrival, as in the runner.
        }
        this.options.onTick?.(this.now, this.targets);
        if (!this.haveArrivalsEnded) this.schedule(TICK_MS, () => this.tick());
    }
}
