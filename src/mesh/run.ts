/** A request on the node beside the target that runs it. */
import type { QueueItem } from "../policy/priorityQueue.ts";
import type { CallTally } from "../policy/routeCalls.ts";
import type { TargetExchange } from "./targetConnectionPool.ts";
import type { ForwardedRequest, Outcome } from "./types.ts";

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
    /** Number of runs at the target when this one started, itself included. */
    concurrencyAtStart: number;
    /** Phase of the trial of a concurrency limit in which the run started; 0 if there was none. */
    capacityPhase: number;
    exchange: TargetExchange | undefined;
    isDone: boolean;
    isSilenceReported: boolean;
    /** The calls that the target has made while it ran the request; `undefined` if there are none. */
    calls: CallTally | undefined;
}

export function createRun(req: ForwardedRequest, listener: RunListener, isTraced: boolean, now: number): Run {
    return {
        req,
        isTraced,
        level: req.level,
        arrivedAt: now,
        deadlineAt: now + req.leftMs,
        expiresAt: now + Math.min(req.maxQueueMs, req.leftMs),
        listener,
        startedAt: 0,
        concurrencyAtStart: 0,
        capacityPhase: 0,
        exchange: undefined,
        isDone: false,
        isSilenceReported: false,
        calls: undefined,
    };
}
