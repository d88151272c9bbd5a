/**
 * Starts the attempts of a call: chooses a target that the call has not tried yet, sends the request to that target's
 * node, and records the load that the node reports with the outcome.
 */
import { chooseTarget } from "../policy/loadBalancer.ts";
import type { StaleReportPolicy } from "../policy/loadBalancer.ts";
import { MAX_SMALL_BYTES } from "../policy/memoryBudget.ts";
import type { MemoryBudget } from "../policy/memoryBudget.ts";
import { shouldAvoidTarget } from "./call.ts";
import type { Call } from "./call.ts";
import type { CallLog } from "./callLog.ts";
import { steadyNow } from "./clock.ts";
import type { KnownNode, NodeDirectory } from "./nodeDirectory.ts";
import type { OutcomeListener } from "./peerLink.ts";
import type { Runner } from "./runner.ts";
import type { ForwardedRequest, LoadReport, Outcome } from "./types.ts";

export interface DispatcherOptions {
    /** This node's service, sent with each request as the calling service. */
    readonly ownService: () => string;
    readonly directory: NodeDirectory;
    readonly runner: Runner;
    readonly callLog: CallLog;
    /** Name of the header field with the name of the client's account, if the platform has one. */
    readonly accountNameField?: string | undefined;
    /** Sends a request to another node and returns a function that cancels it. */
    readonly sendToNode: (node: KnownNode, req: ForwardedRequest, listener: OutcomeListener) => () => void;
    readonly onConfigVersion: (node: KnownNode, version: number) => void;
    readonly rand: () => number;
    /** Counts large bodies of local runs that go on after their caller has left. */
    readonly memory?: MemoryBudget | undefined;
}

export interface AttemptListener {
    /** `isEarlierAttempt`: whether this was the first of two attempts in progress, i.e. the hedged one. */
    onAttemptDone(outcome: Outcome, isEarlierAttempt: boolean): void;
    /** Called when the target has stopped responding while the attempt is still in progress. */
    onSilent(): void;
}

/** Share of the route's latency objective that a client request may wait for a slot. */
const CLIENT_QUEUE_SHARE_OF_OBJECTIVE = 0.3;
/**
 * Share of the time to its deadline that a nested call may wait for a slot. A long wait is accepted, since a refusal
 * would waste the capacity that the run which made the call has already used.
 */
const NESTED_QUEUE_SHARE_OF_TIME_LEFT = 0.6;
/** How long the load balancer avoids a target that stopped responding or for which `shouldAvoidTarget` holds. */
const AVOID_AFTER_FAILURE_MS = 250;

export class Dispatcher {
    /** Reused for each choice of a target to avoid an allocation per attempt. */
    private readonly candidates: KnownNode[] = [];

    constructor(private readonly options: DispatcherOptions) {}

    /** Starts an attempt at a usable target that the call has not tried yet; returns false if there is none. */
    startAttempt(call: Call, now: number, listener: AttemptListener): boolean {
        const { candidates } = this;
        candidates.length = 0;
        for (const node of this.options.directory.nodesOfService(call.service)) {
            if (node.isUsable && !call.triedNodes.includes(node)) candidates.push(node);
        }
        const index = chooseTarget(candidates, now, this.options.rand, this.staleReportPolicy(call));
        if (index < 0) return false;
        const node = candidates[index]!;
        call.triedNodes.push(node);
        this.options.callLog.attemptStarted(call);
        node.inFlight++;
        let isDone = false;
        let cancelRun: () => void = () => undefined;
        const cancelAttempt = () => {
            if (isDone) return;
            isDone = true;
            node.inFlight--;
            cancelRun();
        };
        const sendListener: OutcomeListener = {
            onOutcome: (outcome, load) => {
                if (isDone) return;
                isDone = true;
                node.inFlight--;
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
        cancelRun = node.isSelf
            ? this.runLocally(call, now, sendListener)
            : this.options.sendToNode(node, this.toForwardedRequest(call, now), sendListener);
        return true;
    }

    private staleReportPolicy({ route }: Call): StaleReportPolicy {
        if (!this.options.runner.learnsCapacity) return "ignore";
        return route.isIdempotent ? "explore" : "remember";
    }

    /** Whether a usable target is left that the call has not tried yet. Checked before the retry budget is spent. */
    hasUntriedTarget(call: Call): boolean {
        return this.options.directory.nodesOfService(call.service)
            .some(node => node.isUsable && !call.triedNodes.includes(node));
    }

    private runLocally(call: Call, now: number, listener: OutcomeListener): () => void {
        const { runner, memory } = this.options;
        const bodyBytes = call.req.body.length;
        let isCounted = false;
        const run = runner.submit(this.toForwardedRequest(call, now), {
            onDone: outcome => {
                if (isCounted) memory?.resize(bodyBytes, 0);
                // A configuration version of 0 is never newer, so this node does not fetch a configuration from itself.
                listener.onOutcome(outcome, runner.loadReport(0));
            },
            onSilent: () => listener.onSilent(),
        });
        return () => {
            runner.cancel(run);
            if (run.isDone || bodyBytes <= MAX_SMALL_BYTES) return;
            isCounted = true;
            memory?.resize(0, bodyBytes);
        };
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
            headers: this.forwardedHeaders(call),
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

    private forwardedHeaders({ req: { head }, account }: Call): string {
        const { accountNameField } = this.options;
        return account === undefined || accountNameField === undefined
            ? head.headers
            : `${head.headers}${accountNameField}: ${account.name}\r\n`;
    }

    private recordOutcome(node: KnownNode, outcome: Outcome, load: LoadReport | undefined): void {
        const now = steadyNow();
        if (load !== undefined) {
            node.recordLoadReport(load, now);
            this.options.onConfigVersion(node, load.configVersion);
        }
        if (shouldAvoidTarget(outcome)) node.avoidUntil = now + AVOID_AFTER_FAILURE_MS;
    }
}
