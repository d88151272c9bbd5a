/**
 * Messages between nodes. Datagrams are JSON-RPC 2.0 notifications over UDP; requests and responses are
 * JSON-RPC 2.0 calls over HTTP on the peer listener. The method of a message is its `type`.
 */
import type { ConfigVersion, Member, RecordedResponse, View } from "./types.ts";

export type MemberStatus = "alive" | "suspect" | "draining" | "dead";

/** One piece of gossip about a member. */
export interface MemberUpdate {
    readonly member: Member;
    readonly status: MemberStatus;
    /** Raised by the member itself to refute a suspicion of this incarnation. */
    readonly refutation: number;
}

/** What a node says of its own state on every probe. */
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
    /** The sender's own refutation counter and state; absent for 0 and false. */
    readonly refutation?: number | undefined;
    readonly draining?: boolean | undefined;
}

export type PeerDatagram =
    | ProbeBase & { readonly type: "swim.ping"; }
    | ProbeBase & { readonly type: "swim.pingReq"; readonly target: Member; }
    | ProbeBase & { readonly type: "swim.ack"; };

/** One key as handed over to its new owner. */
export interface HandedRecord {
    readonly key: string;
    /** `begun`: still in progress at the former owner, which tells the end later. */
    readonly state: "begun" | "done" | "unknown";
    readonly fingerprint: string;
    readonly answer?: RecordedResponse | undefined;
    /** Age of the record when it was sent, ms. */
    readonly ageMs: number;
}

/** A view change whose former owners, as far as listed, handed nothing over to the sender. */
export interface ReportedMissingHandover {
    readonly version: number;
    readonly offset: number;
    readonly ageMs: number;
    /** Ids of the members before the change; undefined when the sender does not know them. */
    readonly before?: readonly string[] | undefined;
    readonly lost: readonly string[];
}

export type PeerRequest =
    | {
        readonly type: "swim.sync";
        readonly sender: Member;
        readonly updates: readonly MemberUpdate[];
        /** A hash a bucket of the ids that the sender holds alive; the answer lists the buckets that differ. */
        readonly digests?: readonly string[] | undefined;
    }
    | { readonly type: "control.state"; readonly configOnly?: boolean | undefined; }
    | {
        readonly type: "view.back";
        readonly service: string;
        readonly baseVersion: number;
        readonly change: "join" | "leave" | "exclude";
        readonly members: readonly Member[];
    }
    | { readonly type: "view.promise"; readonly service: string; readonly version: number; }
    | { readonly type: "view.relay"; }
    | {
        readonly type: "records.handover";
        readonly service: string;
        readonly viewVersion: number;
        readonly sender: string;
        readonly records: readonly HandedRecord[];
        readonly gaps: readonly ReportedMissingHandover[];
        /** Whether this is the last part of this sender's handover for the view version. */
        readonly last: boolean;
    }
    | {
        readonly type: "crashes.report";
        readonly sender: string;
        readonly crash: string;
        readonly suspects: readonly string[];
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
        /** Last log offset applied, -1 for none. */
        readonly offset: number;
        readonly config?: ConfigVersion | undefined;
        readonly views: Readonly<Record<string, View>>;
        /** Whether this is what the log says as of `offset`, with nothing passed on by peers. */
        readonly isReplayed?: boolean | undefined;
    }
    /** Ids in whose name the node backs the change: its own and its predecessor's at the same address. */
    | { readonly type: "view.back"; readonly backers: readonly string[]; }
    | { readonly type: "view.promise"; readonly voter?: string | undefined; }
    /** `ageMs`: time since the relayed read was sent, undefined when there is none. */
    | { readonly type: "view.relay"; readonly offset: number; readonly ageMs?: number | undefined; }
    | { readonly type: "records.handover"; readonly accepted: boolean; }
    | { readonly type: "crashes.report"; };
