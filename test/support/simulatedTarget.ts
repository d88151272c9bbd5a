/** Targets of the overload simulation and a calling node's view of them. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CutoffController } from "../../src/policy/cutoffController.ts";
import type { Candidate } from "../../src/policy/loadBalancer.ts";
import { PriorityQueue } from "../../src/policy/priorityQueue.ts";
import { ServiceTime } from "../../src/policy/serviceTime.ts";
import { TargetCapacity } from "../../src/policy/targetCapacity.ts";
import type { SimulationOptions, TargetState, TrafficClass } from "./overloadSimulation.ts";

export interface SimulatedRequest {
    readonly trafficClass: TrafficClass;
    readonly level: number;
    /** Time at which the caller sent the request; for a retry, the time of the refused request. */
    readonly firstSentAt: number;
    readonly admittedAt: number;
    readonly isRetry: boolean;
    callsLeft: number;
}

export interface QueuedCall {
    readonly request: SimulatedRequest;
    readonly level: number;
    readonly expiresAt: number;
    readonly arrivedAt: number;
    /** The calling node's view of the chosen target. */
    readonly candidate: SimulatedCandidate;
}

export class SimulatedTarget implements TargetState {
    readonly isUsable = true;
    readonly cutoffController = new CutoffController();
    readonly queue = new PriorityQueue<QueuedCall>();
    readonly serviceTime: ServiceTime;
    readonly capacity: TargetCapacity | undefined;
    running = 0;
    busySlotMs = 0;
    starts = 0;
    unsafeStarts = 0;

    constructor(
        readonly index: number,
        readonly speed: number,
        private readonly maxLimit: number,
        { learnsCapacity = false, slots, seed }: SimulationOptions,
    ) {
        this.serviceTime = new ServiceTime({ learnsCapacity });
        if (!learnsCapacity) return;
        // A generator of its own, so that the arrivals are the same with and without learning.
        const generator = xoroshiro128plus(seed * 1000 + index);
        this.capacity = new TargetCapacity({ rand: () => uniformInt(generator, 0, 0xffff) / 0x10000 });
        this.capacity.setSlots(slots, maxLimit, true);
    }

    get cutoff(): number {
        return this.cutoffController.cutoff;
    }

    get limit(): number {
        return this.capacity?.limit ?? this.maxLimit;
    }

    get report(): { readonly limit: number; readonly serviceMs: number; } {
        return { limit: this.limit, serviceMs: this.serviceTime.reportedMs };
    }

    hasSlotFor({ request }: QueuedCall): boolean {
        const isIdempotent = request.trafficClass.isIdempotent !== false;
        return this.running < (this.capacity?.limitFor(isIdempotent) ?? this.maxLimit);
    }
}

/** One calling node's view of one target. */
export class SimulatedCandidate implements Candidate {
    readonly isSelf = false;
    readonly avoidUntil = 0;
    inFlight = 0;
    inFlightAtReport = 0;
    report: Candidate["report"];
    reportedAt = 0;

    constructor(
        readonly target: SimulatedTarget,
        readonly slots: number,
        readonly isInLocalDataCentre: boolean,
    ) {}

    onResponse(now: number): void {
        const { cutoffController, running, queue, limit, serviceTime } = this.target;
        this.inFlight--;
        this.inFlightAtReport = this.inFlight;
        this.reportedAt = now;
        this.report = {
            cutoff: cutoffController.cutoff,
            running,
            queued: queue.length,
            limit,
            serviceMs: serviceTime.reportedMs,
            configVersion: 1,
        };
    }
}
