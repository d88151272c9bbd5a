/**
 * Messages between nodes. Datagrams are JSON-RPC 2.0 notifications over UDP; requests and responses are those of
 * JSON-RPC 2.0 over HTTP on the peer listener. The method of a message is its `type`.
 */
import type { ConfigVersion, Member, RecordedResponse, View } from "./types.ts";

export type MemberStatus = "alive" | "suspect" | "draining" | "dead";

/** A gossip update about a member. */
export interface MemberUpdate {
    readonly member: Member;
    readonly status: MemberStatus;
    /** Counter that the member raises to refute a suspicion. */
    readonly refutation: number;
}

/** Summary of the sender's control state, part of every probe and ack. */
export interface StateSummary {
    readonly configNumber: number;
    readonly configId?: string | undefined;
    readonly logOffset: number;
}

interface ProbeBase {
    readonly sender: Member;
    readonly seq: number;
    readonly summary: StateSummary;
    readonly updates: readonly MemberUpdate[];
    /** The sender's refutation counter, and whether it drains. If absent, they are 0 and false. */
    readonly refutation?: number | undefined;
    readonly draining?: boolean | undefined;
}

export type PeerDatagram =
    | ProbeBase & { readonly type: "swim.ping"; }
    /** `target`: the member that the receiver probes for the sender. */
    | ProbeBase & { readonly type: "swim.pingReq"; readonly target: Member; }
    | ProbeBase & { readonly type: "swim.ack"; };

/** The record of a key, as handed over to the key's new owner. */
export interface HandedRecord {
    readonly key: string;
    /**
     * `begun`: the run is still in progress at the former owner, which sends its result later. `done`: the target has
     * responded. `unknown`: the outcome of the run is unknown.
     */
    readonly state: "begun" | "done" | "unknown";
    readonly fingerprint: string;
    readonly answer?: RecordedResponse | undefined;
    /** Age of the record when it was sent, in ms. */
    readonly ageMs: number;
}

/** A view change after which some former owners have not handed over their records to the sender. */
export interface ReportedMissingHandover {
    readonly version: number;
    readonly offset: number;
    readonly ageMs: number;
    /** Ids of the members before the change; undefined if the sender does not know them. */
    readonly before?: readonly string[] | undefined;
    /** Ids of the former owners that have not handed over their records. They may be alive and still do so. */
    readonly lost: readonly string[];
}

export type PeerRequest =
    | {
        readonly type: "swim.sync";
        readonly sender: Member;
        readonly updates: readonly MemberUpdate[];
        /**
         * One hash per bucket of the ids of the members that the sender does not consider dead. The response
         * lists the members of the buckets that differ.
         */
        readonly digests?: readonly string[] | undefined;
    }
    | { readonly type: "control.state"; readonly configOnly?: boolean | undefined; }
    /** Asks a voter to back (vote for) a change of the view. */
    | {
        readonly type: "view.back";
        readonly service: string;
        readonly baseVersion: number;
        readonly change: "join" | "leave" | "exclude";
        readonly members: readonly Member[];
    }
    /** Asks a voter for the promise that a lease needs; `createPromiseResponse` says what it states. */
    | { readonly type: "view.promise"; readonly service: string; readonly version: number; }
    /** Asks for a report of the peer's last read of the log up to its tail. */
    | { readonly type: "view.relay"; }
    | {
        readonly type: "records.handover";
        readonly service: string;
        readonly viewVersion: number;
        readonly sender: string;
        readonly records: readonly HandedRecord[];
        /** Handovers that the sender itself misses. The name has no relation to gaps in the log. */
        readonly gaps: readonly ReportedMissingHandover[];
        /** Whether this is the last part of the sender's handover for the view version. */
        readonly last: boolean;
    }
    | {
        readonly type: "crashes.report";
        readonly sender: string;
        /** Id of the crash; `none` in a report that only clears suspects. */
        readonly crash: string;
        /** Fingerprints of the requests in progress at the crash. */
        readonly suspects: readonly string[];
        /** Fingerprints of the requests that are no longer suspects. */
        readonly cleared: readonly string[];
    };

export type PeerResponse =
    | {
        readonly type: "swim.sync";
        readonly updates: readonly MemberUpdate[];
        readonly digests?: readonly string[] | undefined;
    }
    | {
        readonly type: "control.state";
        /** Offset of the last log record replayed; -1 before the first. */
        readonly offset: number;
        readonly config?: ConfigVersion | undefined;
        readonly views: Readonly<Record<string, View>>;
        /** Whether the state was replayed from the log up to `offset`, without state received from peers. */
        readonly isReplayed?: boolean | undefined;
    }
    /** Ids for which the node backs the change: its own, and those of earlier processes at its address. */
    | { readonly type: "view.back"; readonly backers: readonly string[]; }
    /** `voter`: id of the node; undefined if it does not promise. */
    | { readonly type: "view.promise"; readonly voter?: string | undefined; }
    /** `ageMs`: time since the node sent its last read that reached the tail of the log; undefined without one. */
    | { readonly type: "view.relay"; readonly offset: number; readonly ageMs?: number | undefined; }
    | { readonly type: "records.handover"; readonly accepted: boolean; }
    | { readonly type: "crashes.report"; };
