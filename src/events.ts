/**
 * Events, which are the input of the reducer. The runtime adds the time and a random number to each event, so that
 * the reducer is deterministic.
 */
import type { LogRecord } from "./logRecords.ts";
import type { PeerDatagram, PeerRequest, PeerResponse } from "./peerMessages.ts";
import type { Address, CallContext, LoadReport, Outcome, RecordedResponse } from "./types.ts";

export interface EventStamp {
    /** Time on the monotonic clock, in ms. */
    readonly now: number;
    /** Uniform in [0, 1). */
    readonly rand: number;
}

/** A request for a service has arrived from a caller outside the system (entry) or from the local target (egress). */
export interface CallStarted {
    readonly type: "call_started";
    readonly call: number;
    readonly from: "entry" | "egress";
    readonly service: string;
    readonly requestId: string;
    /** Kind according to the sender. The reducer checks it against the configuration. */
    readonly kind?: string | undefined;
    readonly key?: string | undefined;
    /** Age of a UUIDv7 key by the node's wall clock. */
    readonly keyAgeMs?: number | undefined;
    readonly deadlineMs?: number | undefined;
    /** False if the body is too large to be buffered, so that no further attempt can send it. */
    readonly hasBufferedBody: boolean;
    /** Hash of service, method, path and body; see `fingerprintOf`. */
    readonly fingerprint: string;
    /** False for a call of the local target that has no trace id, and therefore no known parent run. */
    readonly tracked: boolean;
}

/** The head of an attempt's response has arrived, or the attempt failed without a response. */
export interface AttemptAnswered {
    readonly type: "attempt_answered";
    readonly call: number;
    readonly attempt: number;
    readonly outcome: Outcome;
    readonly retriesLeft: number;
    readonly load?: LoadReport | undefined;
}

/** The relay of a response has ended. `complete` is false if the body was truncated or the caller disconnected. */
export interface AttemptClosed {
    readonly type: "attempt_closed";
    readonly call: number;
    readonly attempt: number;
    readonly complete: boolean;
}

/** The caller has disconnected. */
export interface CallCancelled {
    readonly type: "call_cancelled";
    readonly call: number;
}

/** Another node, or this node itself, requests a run at the local target. */
export interface RunStarted {
    readonly type: "run_started";
    readonly run: number;
    readonly ctx: CallContext;
    readonly fingerprint: string;
}

/** The head of the target's response has arrived. It is relayed with the number of retries left, which is then final. */
export interface RunAnswered {
    readonly type: "run_answered";
    readonly run: number;
    readonly status: number;
}

/** The target's response is complete, or the exchange with the target has failed. */
export interface RunEnded {
    readonly type: "run_ended";
    readonly run: number;
    readonly outcome: Outcome;
    /** Set if the response had to be recorded and was small enough. */
    readonly response?: RecordedResponse | undefined;
}

/** The requester of the run has cancelled the attempt or has disconnected. */
export interface RunCancelled {
    readonly type: "run_cancelled";
    readonly run: number;
}

/** The local target has announced its address. */
export interface TargetAnnounced {
    readonly type: "target_announced";
    readonly address: Address;
}

/** No part of a request could be written to the local target, for example because it refuses connections. */
export interface TargetLost {
    readonly type: "target_lost";
}

/** The local target or a signal from the operator has requested a graceful shutdown. */
export interface DrainRequested {
    readonly type: "drain_requested";
    readonly source: "signal" | "target";
}

/** A read of the control log has returned records. It ended at the tail of the log or at a limit on their number. */
export interface LogRead {
    readonly type: "log_read";
    /** Time on the monotonic clock at which the read was sent. */
    readonly sentAt: number;
    /** Offset of the oldest record that the log retains. */
    readonly first: number;
    /** Offset after the last record returned. */
    readonly next: number;
    /** Whether `next` was the tail of the log at the time of the response. */
    readonly atTail: boolean;
    readonly records: readonly { readonly offset: number; readonly record: LogRecord; }[];
}

/** A read of the control log failed because the log no longer retains the requested offset. */
export interface LogTruncated {
    readonly type: "log_truncated";
    /** Offset of the oldest record that the log retains. */
    readonly first: number;
    readonly next: number;
}

export interface LogReadFailed {
    readonly type: "log_read_failed";
}

/** An append to the control log has ended. `offset` is undefined if it failed or its response was lost. */
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

/** Another node has sent a request. The response is the `answer_rpc` effect with the same token. */
export interface RpcReceived {
    readonly type: "rpc_received";
    readonly token: number;
    readonly request: PeerRequest;
}

/** The RPC of a `send_rpc` effect has ended. `response` is undefined if it failed or timed out. */
export interface RpcEnded {
    readonly type: "rpc_ended";
    readonly token: string;
    readonly sentAt: number;
    readonly response?: PeerResponse | undefined;
}

/** The time of a `wake_at` effect has come. */
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
/** The event with the given type, including its stamp. */
export type EventOf<T extends EventBody["type"]> = EventStamp & Extract<EventBody, { readonly type: T; }>;
