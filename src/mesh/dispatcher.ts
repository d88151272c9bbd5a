/**
 * Sends of a call: chooses a target among those not tried yet, hands the request to the node beside it, and learns from
 * the outcome what that target can take.
 */
import { chooseTarget } from "../policy/loadBalancer.ts";
import { isTargetFault } from "./call.ts";
import type { Call } from "./call.ts";
import type { CallLog } from "./callLog.ts";
import { steadyNow } from "./clock.ts";
import type { Directory, KnownNode } from "./directory.ts";
import type { SendListener } from "./peerLink.ts";
import type { Runner } from "./runner.ts";
import type { LoadReport, Outcome, RunRequest } from "./types.ts";

export interface DispatcherOptions {
    readonly service: () => string;
    readonly directory: Directory;
    readonly runner: Runner;
    readonly calls: CallLog;
    /** Sends to another node; returns a function that cancels. */
    readonly sendTo: (node: KnownNode, req: RunRequest, listener: SendListener) => () => void;
    readonly onConfigVersion: (node: KnownNode, version: number) => void;
    readonly rand: () => number;
}

export interface DispatchListener {
    /** `isEarlier`: this is the outcome of the send before the present one. */
    onOver(outcome: Outcome, isEarlier: boolean): void;
    onSilent(): void;
}

/** Part of the latency objective that a request of a client may wait for a slot. */
const ROOT_QUEUE_SHARE = 0.3;
/** Calls of a run have cost capacity already and may wait longer. */
const NESTED_QUEUE_SHARE = 0.6;
const AVOID_AFTER_FAILURE_MS = 250;

export class Dispatcher {
    /** Scratch space of one choice of a target. */
    private readonly nodes: KnownNode[] = [];

    constructor(private readonly options: DispatcherOptions) {}

    /** Chooses a target and sends there; returns whether there was one. */
    send(call: Call, now: number, listener: DispatchListener): boolean {
        const { nodes } = this;
        nodes.length = 0;
        for (const node of this.options.directory.ofService(call.service)) {
            if (node.isUsable && !call.tried.includes(node)) nodes.push(node);
        }
        const index = chooseTarget(nodes, now, this.options.rand);
        if (index < 0) return false;
        const node = nodes[index]!;
        call.tried.push(node);
        this.options.calls.sent(call);
        node.pending++;
        let isOver = false;
        let cancel: () => void = () => undefined;
        const cancelSend = () => {
            if (isOver) return;
            isOver = true;
            node.pending--;
            cancel();
        };
        const sendListener: SendListener = {
            onOutcome: (outcome, load) => {
                if (isOver) return;
                isOver = true;
                node.pending--;
                this.learn(node, outcome, load);
                if (!call.isDone) listener.onOver(outcome, call.cancelEarlier === cancelSend);
            },
            onSilent: () => {
                node.avoidUntil = steadyNow() + AVOID_AFTER_FAILURE_MS;
                if (!isOver && !call.isDone) listener.onSilent();
            },
        };
        call.cancelSend = cancelSend;
        cancel = node.isLocalHost
            ? this.runHere(call, now, sendListener)
            : this.options.sendTo(node, this.runRequest(call, now), sendListener);
        return true;
    }

    /** Whether another target is there; asked before the budget is used. */
    hasOther(call: Call): boolean {
        return this.options.directory.ofService(call.service)
            .some(node => node.isUsable && !call.tried.includes(node));
    }

    private runHere(call: Call, now: number, listener: SendListener): () => void {
        const { runner } = this.options;
        const run = runner.submit(this.runRequest(call, now), {
            onDone: outcome => listener.onOutcome(outcome, runner.load(0)),
            onSilent: () => listener.onSilent(),
        });
        return () => runner.cancel(run);
    }

    private runRequest(call: Call, now: number): RunRequest {
        const { req, route } = call;
        const leftMs = Math.max(0, call.endsAt - now);
        return {
            requestId: req.head.requestId,
            service: call.service,
            route: route.name,
            callerService: this.options.service(),
            method: req.head.method,
            path: req.head.path,
            headers: req.head.headers,
            body: req.body,
            isIdempotent: route.isIdempotent,
            isNested: call.parent !== undefined,
            level: call.level,
            leftMs,
            queueMs: call.parent === undefined
                ? route.latencyObjectiveMs * ROOT_QUEUE_SHARE
                : leftMs * NESTED_QUEUE_SHARE,
        };
    }

    private learn(node: KnownNode, outcome: Outcome, load: LoadReport | undefined): void {
        const now = steadyNow();
        if (load !== undefined) {
            node.noteReport(load, now);
            this.options.onConfigVersion(node, load.configVersion);
        }
        if (isTargetFault(outcome)) node.avoidUntil = now + AVOID_AFTER_FAILURE_MS;
    }
}
