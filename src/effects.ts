/** Effects: operations that the reducer requests from the runtime, which performs them in order. */
import type { LogRecord } from "./logRecords.ts";
import type { PeerDatagram, PeerRequest, PeerResponse } from "./peerMessages.ts";
import type { Address, CallContext, LoadReport, Member, NotRun, RecordedResponse, Unknown } from "./types.ts";

export type Effect =
    /** Sends an attempt of a call to a member, which may be this node. */
    | {
        readonly type: "send_attempt";
        readonly call: number;
        readonly attempt: number;
        readonly member: Member;
        readonly ctx: CallContext;
        /** Maximum number of connections to this member. */
        readonly maxConnections: number;
    }
    | { readonly type: "cancel_attempt"; readonly call: number; readonly attempt: number; }
    /** Streams an attempt's response to the caller. */
    | { readonly type: "relay_answer"; readonly call: number; readonly attempt: number; }
    /** Ends a call without a target's response. The caller gets the outcome, which may be unknown despite the name. */
    | { readonly type: "refuse_call"; readonly call: number; readonly outcome: NotRun | Unknown; }
    /** Forwards the request to the local target. Nothing is written at `startBefore` or later. */
    | {
        readonly type: "forward_run";
        readonly run: number;
        readonly target: Address;
        readonly deadlineMs: number;
        readonly startBefore?: number | undefined;
        /** Whether `run_ended` must include the response if it is small enough. */
        readonly recordResponse: boolean;
    }
    | { readonly type: "cancel_run"; readonly run: number; }
    /** Ends a run without the target's response. The requester gets the outcome, which may be unknown here too. */
    | {
        readonly type: "refuse_run";
        readonly run: number;
        readonly outcome: NotRun | Unknown;
        readonly retriesLeft: number;
        readonly load: LoadReport;
    }
    /** Sends the head of the target's response to the requester, then streams the body. */
    | {
        readonly type: "relay_run";
        readonly run: number;
        readonly retriesLeft: number;
        readonly load: LoadReport;
    }
    /** Responds to a run with the recorded response of an earlier run with the same key. */
    | {
        readonly type: "replay_run";
        readonly run: number;
        readonly response: RecordedResponse;
        readonly retriesLeft: number;
        readonly load: LoadReport;
    }
    | { readonly type: "read_log"; readonly fromOffset: number; readonly waitMs: number; }
    | { readonly type: "append"; readonly record: LogRecord; }
    | { readonly type: "send_datagram"; readonly to: Address; readonly datagram: PeerDatagram; }
    | {
        readonly type: "send_rpc";
        readonly token: string;
        readonly to: Address;
        readonly request: PeerRequest;
        readonly timeoutMs: number;
    }
    | { readonly type: "answer_rpc"; readonly token: number; readonly response: PeerResponse; }
    | { readonly type: "wake_at"; readonly at: number; }
    | { readonly type: "exit"; }
    | { readonly type: "count"; readonly counter: Counter; readonly label: string; readonly by?: number; }
    | {
        readonly type: "log";
        readonly event: string;
        readonly fields: Readonly<Record<string, string | number | boolean>>;
    };

/** Counters, each with one label. `metrics.ts` defines the names of the labels. */
export type Counter =
    | "refusals"
    | "unknowns"
    | "retries"
    | "retries_denied"
    /** Transparent retries, which follow a refusal before the target saw the request and cost no allowance. */
    | "redirects"
    /** Results of attempts that the call no longer waits for. */
    | "late_answers"
    | "calls"
    | "runs"
    /** Calls of the local target without a trace id, and therefore without a known run. */
    | "untracked_calls"
    | "bad_messages"
    | "control_messages"
    /** Payload bytes by channel: datagram, rpc, log. */
    | "control_bytes_sent"
    | "control_bytes_received"
    | "view_changes"
    | "config_records";
