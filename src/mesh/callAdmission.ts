/** Decides at the node where a call arrives whether to send it to a target at all. */
import { EntryCutoffs } from "../policy/entryCutoff.ts";
import type { RetryBudget } from "../policy/retryBudget.ts";
import { RouteCircuitBreaker } from "../policy/routeCircuitBreaker.ts";
import type { RouteDependencyMap } from "../policy/routeDependencies.ts";
import { RouteLatencies } from "../policy/routeLatency.ts";
import type { Call } from "./call.ts";
import type { CrashGuard } from "./crashGuard.ts";
import type { NodeDirectory } from "./nodeDirectory.ts";
import type { RefusalReason } from "./types.ts";

export interface CallAdmissionOptions {
    readonly ownService: () => string;
    readonly directory: NodeDirectory;
    readonly dependencies: RouteDependencyMap;
    readonly retryBudget: RetryBudget;
    readonly crashGuard: Pick<CrashGuard, "admit" | "blockedForMs">;
    /** Whether client requests that take about `expectedMs` are refused because the process is about to exit. */
    readonly isRefusingClients: (expectedMs: number) => boolean;
}

export interface CallRefusal {
    readonly reason: RefusalReason;
    /** The cutoff that the call exceeds, for the log. */
    readonly cutoff?: number;
}

export class CallAdmission {
    private readonly entryCutoffs: EntryCutoffs;
    private readonly circuitBreaker = new RouteCircuitBreaker();
    private readonly routeLatencies = new RouteLatencies();

    constructor(private readonly options: CallAdmissionOptions, private readonly rand: () => number) {
        this.entryCutoffs = new EntryCutoffs(service => options.directory.nodesOfService(service));
    }

    /** Entry cutoff of a service alone; that of a request may be lower, due to a dependency (see `cutoffFor`). */
    cutoffOf(service: string, now: number): number {
        return this.entryCutoffs.cutoffOf(service, now);
    }

    cutoffFor(call: Call, now: number): number {
        const dependencies = this.options.dependencies.servicesOf(call.route.name);
        const serviceCutoff = this.entryCutoffs.cutoffOf(call.service, now);
        return Math.min(serviceCutoff, this.entryCutoffs.lowestCutoffOf(dependencies, now));
    }

    /** Returns why to refuse a call, if it is to be refused. Nested calls are subject to the crash guard only. */
    check(call: Call, now: number): CallRefusal | undefined {
        if (call.isCallerUnknown) return { reason: "unknown-caller" };
        const isClientCall = call.parent === undefined;
        if (isClientCall && now >= call.deadlineAt) return { reason: "deadline" };
        if (isClientCall && this.options.isRefusingClients(this.meanLatencyMs(call))) {
            return { reason: "stopping" };
        }
        if (!this.options.crashGuard.admit(this.contentOf(call))) return { reason: "crashes-targets" };
        return isClientCall ? this.checkLoad(call, now) : undefined;
    }

    /** Time in ms for which a call remains blocked that was refused as `crashes-targets`. */
    blockedForMs(call: Call): number {
        return this.options.crashGuard.blockedForMs(this.contentOf(call));
    }

    /** Mean latency in ms of the call's route; 0 before the first response. */
    meanLatencyMs(call: Call): number {
        return this.routeLatencies.meanMs(call.route.name);
    }

    recordResponse(call: Call, status: number, now: number): void {
        this.circuitBreaker.recordOutcome(call.route.name, status >= 500, now);
        if (status < 500) this.routeLatencies.record(call.route.name, now - call.startedAt);
    }

    private checkLoad(call: Call, now: number): CallRefusal | undefined {
        this.options.retryBudget.recordRequest(call.service, now);
        this.entryCutoffs.recordRequest(call.level);
        const cutoff = this.cutoffFor(call, now);
        if (call.level > cutoff) return { reason: "overload", cutoff };
        return this.circuitBreaker.isAdmitted(call.route.name, now, this.rand)
            ? undefined
            : { reason: "failing-below" };
    }

    private contentOf({ service, req: { head, body } }: Call) {
        return {
            service,
            callerService: this.options.ownService(),
            method: head.method,
            path: head.path,
            body,
        };
    }
}
