/**
 * Value types shared by every layer: addresses, members, configuration, call contexts and outcomes.
 * All times are milliseconds on a node's monotonic clock unless a name says otherwise.
 */

/** IP number and port. The peer listener uses the same port number for TCP and UDP. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

/** `host:port`, the form used in settings, logs and map keys. */
export function formatAddress(address: Address): string {
    return `${address.host}:${address.port}`;
}

/** The inverse of `formatAddress`. */
export function parseAddress(text: string): Address {
    const colon = text.lastIndexOf(":");
    return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

/** One incarnation of a node: its id is random and made at start, so that a restart is a new member. */
export interface Member {
    readonly id: string;
    readonly service: string;
    readonly address: Address;
    readonly dataCentre: string;
}

/** A kind of request, from the file set. */
export interface Kind {
    readonly name: string;
    /** 0 to 7; requests of priority 0 are refused last. */
    readonly priority: number;
    /** Weight of one finished request in the goodput; 0 is not counted. */
    readonly worth: number;
    readonly nonIdempotent: boolean;
    /** Extra attempts for one request over its whole chain. */
    readonly retries: number;
    readonly deadlineMs: number;
    /** Whether callers outside the system may send it. */
    readonly external: boolean;
}

/** A service, from the file set. */
export interface Service {
    readonly name: string;
    readonly defaultKind: string;
    /** The services that its targets call. */
    readonly calls: readonly string[];
    /** Connections that one target accepts. */
    readonly connections: number;
    /** Requests that one target works on at once, as a hint. */
    readonly slots?: number | undefined;
}

/** An operator's statement that the voters of a view are gone for good. */
export interface ReplacedService {
    readonly service: string;
    readonly viewVersion: number;
}

export interface Configuration {
    readonly kinds: readonly Kind[];
    readonly services: readonly Service[];
    /** How long callers may resend a non-idempotent request. */
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

/** The members that may own keys of a service, and the voters for its next change. */
export interface View {
    readonly version: number;
    /** Log offset of the record that made this version. */
    readonly offset: number;
    readonly members: readonly Member[];
    readonly voters: readonly Member[];
}

/** What travels with a call from node to node. */
export interface CallContext {
    /** W3C trace id: 32 lower-case hexadecimal digits. */
    readonly requestId: string;
    readonly kind: string;
    readonly key?: string | undefined;
    /** Time left until the deadline when the context was sent. */
    readonly deadlineMs: number;
    /** Extra attempts handed down. */
    readonly retries: number;
    readonly depth: number;
    /** Id of the sending node; a reply may tell it of a leave. */
    readonly sender: string;
}

/** The load of a target as its node sees it; travels back on every answer. */
export interface LoadReport {
    /** Requests with a level above this one are refused at present. */
    readonly level: number;
    readonly inFlight: number;
    readonly limit: number;
}

/** Why a request was not run. Each reason has a counter. */
export const refusalReasons = [
    "no-configuration",
    "unknown-service",
    "unknown-kind",
    "draining",
    "target-down",
    "no-target",
    "over-limit",
    "level",
    "level-at-caller",
    "queue-timeout",
    "deadline",
    "records-full",
    "no-proof",
    "ownership-moving",
    "not-owner",
    "owner-unreachable",
    "crashes-targets",
    "cancelled",
    "connect-failed",
    "key-conflict",
] as const;
export type RefusalReason = typeof refusalReasons[number];

/** Why it is not known whether a request ran. */
export const unknownReasons = [
    "connection-lost",
    "deadline",
    "target-crashed",
    "target-error",
    "truncated",
    "cancelled",
    "inherited-key",
    "key-expired",
    "already-run",
    "in-progress",
] as const;
export type UnknownReason = typeof unknownReasons[number];

export interface Ran {
    readonly type: "ran";
    /** HTTP status of the target. */
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

/** What became of one attempt, as far as the node that says it knows. */
export type Outcome = Ran | NotRun | Unknown;

export function notRun(reason: RefusalReason, retryAfterMs = 0): NotRun {
    return { type: "not-run", reason, retryAfterMs };
}

export function unknown(reason: UnknownReason): Unknown {
    return { type: "unknown", reason };
}

/** A complete answer kept for resends of a non-idempotent request. */
export interface RecordedResponse {
    readonly status: number;
    readonly contentType: string;
    /** Base64, so that the record can be handed over in JSON. */
    readonly body: string;
}

/** Throws at run time and fails at compile time when a union case is not handled. */
export function assertNever(value: never): never {
    throw new Error(`unexpected value ${JSON.stringify(value)}`);
}
