/**
 * Value types that all layers share: addresses, members, configuration, call contexts and outcomes.
 * Durations are in milliseconds. Times are milliseconds on a node's monotonic clock unless a name says otherwise.
 */

/** IP address and port. The peer listener uses the same port number for TCP and UDP. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

/** Formats an address as `host:port`, for settings, logs and map keys. */
export function formatAddress(address: Address): string {
    return `${address.host}:${address.port}`;
}

/** The inverse of `formatAddress`. */
export function parseAddress(text: string): Address {
    const colon = text.lastIndexOf(":");
    return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

/** One incarnation of a node. A node generates a random id at startup, so a restarted node is a new member. */
export interface Member {
    readonly id: string;
    readonly service: string;
    readonly address: Address;
    readonly dataCentre: string;
}

/** A kind of request, as defined in the configuration files. */
export interface Kind {
    readonly name: string;
    /** 0 to 7. Requests of priority 0 are the most important and are refused last. */
    readonly priority: number;
    /** Weight of a completed request in the goodput. Requests of weight 0 are not counted. */
    readonly worth: number;
    readonly nonIdempotent: boolean;
    /** Retries allowed for a request, in total over all services of its call chain. */
    readonly retries: number;
    readonly deadlineMs: number;
    /** Whether callers outside the system may send requests of this kind. */
    readonly external: boolean;
}

/** A service, as defined in the configuration files. */
export interface Service {
    readonly name: string;
    readonly defaultKind: string;
    /** Names of the services that the targets of this service call. */
    readonly calls: readonly string[];
    /** Number of connections that one target accepts. */
    readonly connections: number;
    /** Number of requests that one target processes at once. Nodes do not use it; they measure the limit. */
    readonly slots?: number | undefined;
}

/**
 * An operator's statement that the voters of this version of the service's view are lost. The service starts over
 * with an empty view.
 */
export interface ReplacedService {
    readonly service: string;
    readonly viewVersion: number;
}

export interface Configuration {
    readonly kinds: readonly Kind[];
    readonly services: readonly Service[];
    /** How long callers may retry a non-idempotent request. */
    readonly resendHorizonMs: number;
    readonly replacedServices: readonly ReplacedService[];
}

/** A configuration that the control log has accepted. */
export interface ConfigVersion {
    readonly id: string;
    readonly number: number;
    readonly author: string;
    readonly configuration: Configuration;
}

/** The members of a service that may own keys of its requests, and the voters on the next change of the view. */
export interface View {
    readonly version: number;
    /** Log offset of the record that created this version. */
    readonly offset: number;
    readonly members: readonly Member[];
    readonly voters: readonly Member[];
}

/** Metadata of an attempt, sent to the receiving node in the `fp-call` header. */
export interface CallContext {
    /** W3C trace id: 32 lower-case hexadecimal digits. */
    readonly requestId: string;
    readonly kind: string;
    readonly key?: string | undefined;
    /** Time left until the deadline, at the moment of sending. */
    readonly deadlineMs: number;
    /** Retries that the receiving node may use for the calls of this request. */
    readonly retries: number;
    /** Number of calls in the chain up to and including this one. */
    readonly depth: number;
    /** Id of the sending node. The receiver notifies recent senders when it starts to drain. */
    readonly sender: string;
}

/** Load of a target as measured by its node. A node sends it with every response to a run. */
export interface LoadReport {
    /** The cutoff: the highest admission level (priority and hash of the request id) at which requests are admitted. */
    readonly level: number;
    readonly inFlight: number;
    readonly limit: number;
}

/** Reasons why a request was not run. Each reason is a label value of the counter `refusals`. */
export const refusalReasons = [
    "no-configuration",
    "unknown-service",
    "unknown-kind",
    "draining",
    "target-down",
    /** No routable member is left that the call has not tried, or the key has no owner. */
    "no-target",
    /** The queue is full, or the maximum number of runs is parked, which means that they wait outside the queue. */
    "over-limit",
    /** The request's level is above the cutoff of the target or of a dependency. */
    "level",
    /** The calling node refuses the request, because its level is above the cutoffs that the members have reported. */
    "level-at-caller",
    /** The run waited in the queue, or parked, until too little time was left. */
    "queue-timeout",
    "deadline",
    "records-full",
    /** The node does not hold a lease, or the lease expired before the request was written to the target. */
    "no-proof",
    "ownership-moving",
    "not-owner",
    "owner-unreachable",
    "crashes-targets",
    "cancelled",
    "connect-failed",
    /** A different request has used the same key. */
    "key-conflict",
] as const;
export type RefusalReason = typeof refusalReasons[number];

/** Reasons why it is unknown whether a request ran. Each one is a label value of the counter `unknowns`. */
export const unknownReasons = [
    "connection-lost",
    "deadline",
    "target-crashed",
    "target-error",
    "truncated",
    "cancelled",
    /** A former owner of the key may have run the request, and has not handed over its records. */
    "inherited-key",
    /** The key is so old that the record of its first run may have expired. */
    "key-expired",
    /** A request with the key may have run before, and there is no recorded response to replay. */
    "already-run",
    /** A run with the key has not ended. */
    "in-progress",
] as const;
export type UnknownReason = typeof unknownReasons[number];

export interface Ran {
    readonly type: "ran";
    /** HTTP status code of the target's response. */
    readonly status: number;
}

export interface NotRun {
    readonly type: "not-run";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
}

export interface Unknown {
    readonly type: "unknown";
    readonly reason: UnknownReason;
}

/** Outcome of an attempt, as far as it is known to the node that reports it. */
export type Outcome = Ran | NotRun | Unknown;

export function notRun(reason: RefusalReason, retryAfterMs = 0): NotRun {
    return { type: "not-run", reason, retryAfterMs };
}

export function unknown(reason: UnknownReason): Unknown {
    return { type: "unknown", reason };
}

/** A complete response, recorded so that it can be replayed when a non-idempotent request is retried. */
export interface RecordedResponse {
    readonly status: number;
    readonly contentType: string;
    /** Encoded in Base64, because records are handed over as JSON. */
    readonly body: string;
}

/** Throws at run time and fails at compile time when a union case is not handled. */
export function assertNever(value: never): never {
    throw new Error(`unexpected value ${JSON.stringify(value)}`);
}
