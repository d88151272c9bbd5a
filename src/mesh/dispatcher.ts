/**
 * Sends of a call: chooses a target among those not tried yet, hands the request to the node beside it, and learns from
 * the outcome what that target can take.
 */
import { chooseTarget } from "../policy/loadBalancer.ts";
import { isTargetFault } from "./call.ts";
import type { Call } from "./call.ts";
import type { CallLog } from "./callLog.ts";
import { steadyNow } from "./clock.ts";
import type { KnownNode, NodeDirectory } from "./nodeDirectory.ts";
import type { SendListener } from "./peerLink.ts";
import type { Runner } from "./runner.ts";
import type { ForwardedRequest, LoadReport, Outcome } from "./types.ts";

export interface DispatcherOptions {
    readonly ownService: () => string;
    readonly directory: NodeDirectory;
    readonly runner: Runner;
    readonly callLog: CallLog;
    /** Sends to another node; returns a function that cancels. */
    readonly sendToNode: (node: KnownNode, req: ForwardedRequest, listener: SendListener) => () => void;
    readonly onConfigVersion: (node: KnownNode, version: number) => void;
    readonly rand: () => number;
}

export interface AttemptListener {
    /** `isEarlier`: this is the outcome of the send before the present one. */
    onAttemptDone(outcome: Outcome, isEarlierAttempt: boolean): void;
    onSilent(): void;
}

/** Part of the latency objective that a request of a client may wait for a slot. */
const CLIENT_QUEUE_SHARE_OF_OBJECTIVE = 0.3;
/** Calls of a run have cost capacity already and may wait longer. */
const NESTED_QUEUE_SHARE_OF_TIME_LEFT = 0.6;
const AVOID_AFTER_FAILURE_MS = 250;

export class Dispatcher {
    /** Scratch space of one choice of a target. */
    private readonly candidates: KnownNode[] = [];

    constructor(private readonly options: DispatcherOptions) {}

    /** Chooses a target and sends there; returns whether there was one. */
    send(call: Call, now: number, listener: AttemptListener): boolean {
        const { candidates } = this;
        candidates.length = 0;
        for (const node of this.options.directory.nodesOfService(call.service)) {
            if (node.isUsable && !call.triedNodes.includes(node)) candidates.push(node);
        }
        const index = chooseTarget(candidates, now, this.options.rand);
        if (index < 0) return false;
        const node = candidates[index]!;
        call.triedNodes.push(node);
        this.options.callLog.sent(call);
        node.pending++;
        let isDone = false;
        let cancel: () => void = () => undefined;
        const cancelAttempt = () => {
            if (isDone) return;
            isDone = true;
            node.pending--;
            cancel();
        };
        const sendListener: SendListener = {
            onOutcome: (outcome, load) => {
                if (isDone) return;
                isDone = true;
                node.pending--;
                this.recordOutcome(node, outcome, load);
                if (!call.isDone) {
                    listener.onAttemptDone(outcome, call.cancelEarlierAttempt === cancelAttempt);
                }
            },
            onSilent: () => {
                node.avoidUntil = steadyNow() + AVOID_AFTER_FAILURE_MS;
                if (!isDone && !call.isDone) listener.onSilent();
            },
        };
        call.cancelAttempt = cancelAttempt;
        cancel = node.isLocalHost
            ? this.runLocally(call, now, sendListener)
            : this.options.sendToNode(node, this.toForwardedRequest(call, now), sendListener);
        return true;
    }

    /** Whether another target is there; asked before the budget is used. */
    hasUntriedTarget(call: Call): boolean {
        return this.options.directory.nodesOfService(call.service)
            .some(node => node.isUsable && !call.triedNodes.includes(node));
    }

    private runLocally(call: Call, now: number, listener: SendListener): () => void {
        const { runner } = this.options;
        const run = runner.submit(this.toForwardedRequest(call, now), {
            onDone: outcome => listener.onOutcome(outcome, runner.loadReport(0)),
            onSilent: () => listener.onSilent(),
        });
        return () => runner.cancel(run);
    }

    private toForwardedRequest(call: Call, now: number): ForwardedRequest {
        const { req, route } = call;
        const leftMs = Math.max(0, call.deadlineAt - now);
        return {
            requestId: req.head.requestId,
            service: call.service,
            route: route.name,
            callerService: this.options.ownService(),
            method: req.head.method,
            path: req.head.path,
            headers: req.head.headers,
            body: req.body,
            isIdempotent: route.isIdempotent,
            isNested: call.parent !== undefined,
            level: call.level,
            leftMs,
            maxQueueMs: call.parent === undefined
                ? route.latencyObjectiveMs * CLIENT_QUEUE_SHARE_OF_OBJECTIVE
                : leftMs * NESTED_QUEUE_SHARE_OF_TIME_LEFT,
        };
    }

    private recordOutcome(node: KnownNode, outcome: Outcome, load: LoadReport | undefined): void {
        const now = steadyNow();
        if (load !== undefined) {
            node.recordLoadReport(load, now);
            this.options.onConfigVersion(node, load.configVersion);
        }
        if (isTargetFault(outcome)) node.avoidUntil = now + AVOID_AFTER_FAILURE_MS;
    }
}
