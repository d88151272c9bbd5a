/** Values of the mesh data plane: routes, targets, requests and their outcomes. */

export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    readonly pathPrefix: string;
    /** Whether a request may run more than once. */
    readonly isIdempotent: boolean;
    /** Longest time that a caller is kept waiting. */
    readonly timeoutMs: number;
    /** Time within which an answer is useful in full. */
    readonly latencyObjectiveMs: number;
    /** 0 is the most important. */
    readonly priority: number;
    /** Most targets that one request may be sent to. */
    readonly maxAttempts: number;
    /** One entry, or the parts of a split. */
    readonly services: readonly WeightedService[];
}

export interface ServiceConfig {
    readonly name: string;
    readonly healthPath: string;
    readonly maxConnections: number;
}

export interface ClientLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

export interface MeshConfig {
    readonly version: number;
    /** Routes by host, the longest prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
    readonly services: ReadonlyMap<string, ServiceConfig>;
    readonly limits: ClientLimits;
    /** The encoded form in which it was received, to be handed to peers. */
    readonly encoded: Buffer;
}

export type TargetState = "ready" | "draining" | "gone";

/** What a target announces about itself. */
export interface TargetRecord {
    readonly id: string;
    readonly service: string;
    readonly state: TargetState;
    readonly slots: number;
    /** Unix time in ms at which the target started. */
    readonly bornAt: number;
}

/** What a node tells of itself; a record with a later `startedAt`, then a higher `serial`, replaces others. */
export interface NodeRecord {
    readonly name: string;
    readonly address: string;
    readonly dataCentre: string;
    /** Unix time in ms at which the process started. */
    readonly startedAt: number;
    readonly serial: number;
    readonly target: TargetRecord | undefined;
}

/** Why a node did not run a request; each has a counter. */
export type RefusalReason =
    | "no-config"
    | "no-target"
    | "draining"
    | "target-down"
    | "wrong-service"
    | "wrong-instance"
    | "overload"
    | "failing-below"
    | "queue-timeout"
    | "target-shed"
    | "link-down"
    | "stopping"
    | "crashes-targets"
    | "memory"
    | "deadline";

/** Why it is not known whether a request ran, or why its answer cannot be used. */
export type FailureReason =
    | "link-lost"
    | "connection-lost"
    | "bad-answer"
    | "timeout"
    | "caller-gone"
    | "stopping";

/** Why a request is sent to another target after one has seen it. */
export type RetryReason = RefusalReason | FailureReason | "answer-5xx" | "target-silent";

export interface ResponseOutcome {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: string;
    readonly body: Buffer;
}

export interface NotRunOutcome {
    readonly kind: "not-run";
    readonly reason: RefusalReason;
}

export interface UnknownOutcome {
    readonly kind: "unknown";
    readonly reason: FailureReason;
}

export type Outcome = ResponseOutcome | NotRunOutcome | UnknownOutcome;

/** A request as it is sent to the node beside a target. */
export interface ForwardedRequest {
    readonly requestId: string;
    readonly service: string;
    readonly route: string;
    readonly callerService: string;
    readonly method: string;
    readonly path: string;
    readonly headers: string;
    readonly body: Buffer;
    readonly isIdempotent: boolean;
    /** Whether it is a call made by a run of another request. */
    readonly isNested: boolean;
    readonly level: number;
    /** Time left until the caller's deadline or the route's timeout. */
    readonly leftMs: number;
    /** Longest time that waiting for a slot is of use. */
    readonly maxQueueMs: number;
}

/** Load of a target as its node tells it with each answer. */
export interface LoadReport {
    /** Requests with a higher level are not admitted at present, here or further down. */
    readonly cutoff: number;
    readonly running: number;
    readonly queued: number;
    readonly limit: number;
    /** Smoothed time that the target takes for a request. */
    readonly serviceMs: number;
    readonly configVersion: number;
}
