/**
 * Everything that can happen to a node. The runtime stamps each event with the monotonic clock and a random
 * number, so that the reducer needs neither.
 */
import type { LogRecord } from "./logRecords.ts";
import type { PeerDatagram, PeerRequest, PeerResponse } from "./peerMessages.ts";
import type { Address, CallContext, LoadReport, Outcome, RecordedResponse } from "./types.ts";

export interface EventStamp {
    /** Monotonic clock, ms. */
    readonly now: number;
    /** Uniform in [0, 1). */
    readonly rand: number;
}

/** A request for a service has reached this node from a caller outside or from the target beside it. */
export interface CallStarted {
    readonly type: "call_started";
    readonly call: number;
    readonly from: "entry" | "egress";
    readonly service: string;
    readonly requestId: string;
    /** As claimed by the sender; checked against the configuration. */
    readonly kind?: string | undefined;
    readonly key?: string | undefined;
    /** Age of a UUIDv7 key by the node's wall clock. */
    readonly keyAgeMs?: number | undefined;
    readonly deadlineMs?: number | undefined;
    /** False when the body was too large to be kept for another attempt. */
    readonly replayable: boolean;
    /** Hash of service, method, path and body. */
    readonly fingerprint: string;
    /** False for a call of the local target without a trace id. */
    readonly tracked: boolean;
}

/** The head of an attempt's answer has arrived, or the attempt failed before one did. */
export interface AttemptAnswered {
    readonly type: "attempt_answered";
    readonly call: number;
    readonly attempt: number;
    readonly outcome: Outcome;
    readonly retriesLeft: number;
    readonly load?: LoadReport | undefined;
}

/** The body of a relayed answer has ended. */
export interface AttemptClosed {
    readonly type: "attempt_closed";
    readonly call: number;
    readonly attempt: number;
    readonly complete: boolean;
}

/** The caller has gone away. */
export interface CallCancelled {
    readonly type: "call_cancelled";
    readonly call: number;
}

/** A node (perhaps this one) asks to run a request on the local target. */
export interface RunStarted {
    readonly type: "run_started";
    readonly run: number;
    readonly ctx: CallContext;
    readonly fingerprint: string;
}

/** The head of the target's answer has arrived; `retriesLeft` must be fixed now. */
export interface RunAnswered {
    readonly type: "run_answered";
    readonly run: number;
    readonly status: number;
}

/** The target's answer is complete, or the exchange with the target failed. */
export interface RunEnded {
    readonly type: "run_ended";
    readonly run: number;
    readonly outcome: Outcome;
    /** Present when the answer was small enough to be kept. */
    readonly response?: RecordedResponse | undefined;
}

export interface RunCancelled {
    readonly type: "run_cancelled";
    readonly run: number;
}

/** The local target announced itself. */
export interface TargetAnnounced {
    readonly type: "target_announced";
    readonly address: Address;
}

/** The local target refuses connections or broke all of them at once. */
export interface TargetLost {
    readonly type: "target_lost";
}

/** The local target or the operator's signal asks for a planned stop. */
export interface DrainRequested {
    readonly type: "drain_requested";
    readonly source: "signal" | "target";
}

/** A read of the control log that reached its tail or its record limit. */
export interface LogRead {
    readonly type: "log_read";
    /** Monotonic time at which the read was sent. */
    readonly sentAt: number;
    /** First offset that the log still keeps. */
    readonly first: number;
    /** Offset after the last record returned. */
    readonly next: number;
    /** Whether `next` was the tail of the log when it answered. */
    readonly atTail: boolean;
    readonly records: readonly { readonly offset: number; readonly record: LogRecord; }[];
}

/** The offset asked for is no longer kept. */
export interface LogTruncated {
    readonly type: "log_truncated";
    readonly first: number;
    readonly next: number;
}

export interface LogReadFailed {
    readonly type: "log_read_failed";
}

/** An append ended; `offset` is undefined when its answer was lost or it failed. */
export interface AppendEnded {
    readonly type: "append_ended";
    readonly id: string;
    readonly offset?: number | undefined;
}

export interface DatagramReceived {
    readonly type: "datagram_received";
    readonly from: Address;
    readonly datagram: PeerDatagram;
}

/** Another node asks; answered by an `answer_rpc` effect with the same token. */
export interface RpcReceived {
    readonly type: "rpc_received";
    readonly token: number;
    readonly request: PeerRequest;
}

/** A `send_rpc` effect ended; `response` is undefined when it failed or timed out. */
export interface RpcEnded {
    readonly type: "rpc_ended";
    readonly token: string;
    readonly sentAt: number;
    readonly response?: PeerResponse | undefined;
}

/** A time asked for by a `wake_at` effect has come. */
export interface Wake {
    readonly type: "wake";
}

export type EventBody =
    | CallStarted
    | AttemptAnswered
    | AttemptClosed
    | CallCancelled
    | RunStarted
    | RunAnswered
    | RunEnded
    | RunCancelled
    | TargetAnnounced
    | TargetLost
    | DrainRequested
    | LogRead
    | LogTruncated
    | LogReadFailed
    | AppendEnded
    | DatagramReceived
    | RpcReceived
    | RpcEnded
    | Wake;

export type NodeEvent = EventStamp & EventBody;
/** The event of one type, with its stamp. */
export type EventOf<T extends EventBody["type"]> = EventStamp & Extract<EventBody, { readonly type: T; }>;
