/** Types of the mesh data plane: routes, targets, requests and their outcomes. */
import type { Body } from "../http/body.ts";
import type { AccountDirectory } from "../policy/accounts.ts";

export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    readonly pathPrefix: string;
    /** Whether a request may run more than once. */
    readonly isIdempotent: boolean;
    /** Maximum time from the arrival of a request to its response. */
    readonly timeoutMs: number;
    /** Latency up to which a response has its full value to the caller. */
    readonly latencyObjectiveMs: number;
    /** Priority class of the requests; 0 is the most important. */
    readonly priority: number;
    /** Maximum number of attempts that may reach a target, the first included. */
    readonly maxAttempts: number;
    /** Whether clients may send requests without a key; matters only if the configuration has accounts. */
    readonly allowsAnonymous: boolean;
    /** One entry, or several among which traffic is split by weight. Never empty. */
    readonly services: readonly WeightedService[];
}

/** A customer of the operator, known by its API keys. */
export interface ClientAccount {
    readonly name: string;
    /** Takes precedence over the priority of a route; 0 is the most important. */
    readonly priority: number;
    /** Requests per second that the account may send over all nodes; 0 if there is no limit. */
    readonly ratePerS: number;
    /** Requests that it may send at once beyond that rate. */
    readonly burst: number;
}

export interface ServiceConfig {
    readonly name: string;
    readonly healthPath: string;
    /** Part of the configuration, but not enforced by the node. */
    readonly maxConnections: number;
}

/** Limits of the server that accepts requests from clients and from the local target; see `ServerLimits`. */
export interface ClientLimits {
    /** Maximum size of a request head, i.e. of the request line and all header lines. */
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

export interface MeshConfig {
    readonly version: number;
    /** Routes by host, longest path prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
    readonly services: ReadonlyMap<string, ServiceConfig>;
    readonly limits: ClientLimits;
    /** `undefined` if clients need no key. */
    readonly accounts: AccountDirectory | undefined;
    /** The configuration as it was received, to be sent to peers. */
    readonly encoded: Buffer;
}

/** A decoded configuration, or what is wrong with it. `path` is that of the invalid field, with dots. */
export type ConfigResult =
    | { readonly success: true; readonly config: MeshConfig; }
    | { readonly success: false; readonly issue: ConfigIssue; };

export interface ConfigIssue {
    readonly code: "not-json" | "invalid-field" | "no-service";
    /** Empty if the whole configuration is meant. */
    readonly path: string;
    readonly message: string;
}

/** A target announces `ready` or `draining`. Its node sets `gone` when the target deregisters. */
export type TargetState = "ready" | "draining" | "gone";

/**
 * State of a target according to its announcements and its deregistration. Nodes store it and send it to each other as
 * part of `NodeRecord`.
 */
export interface TargetRecord {
    readonly id: string;
    readonly service: string;
    readonly state: TargetState;
    /** Number of requests that the target can process at the same time. */
    readonly slots: number;
    /** Unix time in ms at which the target started; 0 if it does not report it. */
    readonly bornAt: number;
}

/**
 * A node's description of itself. The record with the latest `startedAt`, then the highest `serial`, is valid, with the
 * exception that `NodeDirectory.upsert` describes.
 */
export interface NodeRecord {
    readonly name: string;
    readonly address: string;
    readonly dataCentre: string;
    /** Unix time in ms at which the process started. */
    readonly startedAt: number;
    readonly serial: number;
    readonly target: TargetRecord | undefined;
    /** Set if the node is stopping and refuses runs from other nodes. */
    readonly isRefusingRuns?: true | undefined;
    /** Set if the node stopped after its target had left. Only a new process at the same address needs the record. */
    readonly hasLeft?: true | undefined;
}

/**
 * Why a request was not executed. `Counters.refusalsByReason` counts the calls that end with a refusal, except for
 * `no-config`; `Counters.runRefusalsByReason` counts the runs that the runner refuses. Other refusals of an attempt,
 * e.g. `link-down`, are counted only if the call ends with them.
 */
export type RefusalReason =
    | "no-config"
    | "no-target"
    | "draining"
    | "target-down"
    | "wrong-service"
    | "wrong-instance"
    | "overload"
    // The circuit of the route is open.
    | "failing-below"
    | "queue-timeout"
    | "target-shed"
    | "link-down"
    | "stopping"
    | "crashes-targets"
    | "memory"
    | "deadline"
    // A request without a key whose id is that of a nested call, but no such run is in progress.
    | "unknown-caller"
    // The account has used up its quota; the response has status 429.
    | "quota";

/** Why it is unknown whether a request was executed, or why its response cannot be used. */
export type FailureReason =
    | "link-lost"
    | "connection-lost"
    | "bad-answer"
    | "timeout"
    | "caller-gone"
    | "stopping";

/**
 * Why a request is retried or hedged at another target after it may have reached one. Of the refusal reasons, only
 * `target-shed` and `wrong-instance` occur; after any other refusal, a retry is transparent.
 */
export type RetryReason = RefusalReason | FailureReason | "answer-5xx" | "target-silent";

export interface ResponseOutcome {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: string;
    readonly body: Body;
}

export interface NotRunOutcome {
    readonly kind: "not-run";
    readonly reason: RefusalReason;
}

export interface UnknownOutcome {
    readonly kind: "unknown";
    readonly reason: FailureReason;
}

/** Outcome of one attempt. */
export type Outcome = ResponseOutcome | NotRunOutcome | UnknownOutcome;

/** A request as it is sent to the node of a target. */
export interface ForwardedRequest {
    readonly requestId: string;
    readonly service: string;
    readonly route: string;
    readonly callerService: string;
    readonly method: string;
    readonly path: string;
    readonly headers: string;
    readonly body: Body;
    readonly isIdempotent: boolean;
    /** Whether a target made this request while it ran another one. */
    readonly isNested: boolean;
    readonly level: number;
    /** Time in ms until the earliest of the caller's deadline, the route's timeout and the parent run's deadline. */
    readonly leftMs: number;
    /** Maximum time in ms that the request may wait for a slot. */
    readonly maxQueueMs: number;
}

/** Load of a target, reported by its node with each response. */
export interface LoadReport {
    /** Highest level of client requests that the node admits; nested calls are exempt. */
    readonly cutoff: number;
    /** Slots in use. */
    readonly running: number;
    readonly queued: number;
    /** Concurrency limit of the target, in slots. */
    readonly limit: number;
    /** Smoothed time in ms that the target takes to process a request, times (1 + 8 x its smoothed failure rate). */
    readonly serviceMs: number;
    readonly configVersion: number;
}
