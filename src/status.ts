/** The status document that a node serves at `/status`, mainly for the `status` command. */
import { loadReport } from "./admission.ts";
import type { NodeState } from "./state.ts";
import type { LoadReport, Member } from "./types.ts";
import { formatAddress } from "./types.ts";

export interface StatusDocument {
    readonly self: Member;
    readonly config?: { readonly id: string; readonly number: number; readonly author: string; } | undefined;
    readonly logOffset: number;
    readonly draining: boolean;
    readonly target?: { readonly address: string; readonly lost: boolean; } | undefined;
    readonly views: Readonly<
        Record<string, { readonly version: number; readonly members: readonly Member[]; }>
    >;
    readonly admission: LoadReport;
    readonly callsInProgress: number;
    readonly runsInProgress: number;
    readonly counters: Readonly<Record<string, Readonly<Record<string, number>>>>;
}

export function statusOf(state: NodeState, counters: StatusDocument["counters"]): StatusDocument {
    const { config, offset, views } = state.control;
    return {
        self: state.self,
        config: config === undefined
            ? undefined
            : { id: config.id, number: config.number, author: config.author },
        logOffset: offset,
        draining: state.draining,
        target: state.target === undefined
            ? undefined
            : { address: formatAddress(state.target.address), lost: state.target.lost },
        views: views.map(({ version, members }) => ({ version, members })).toObject(),
        admission: loadReport(state.admission),
        callsInProgress: state.calls.calls.size,
        runsInProgress: state.runs.runs.size,
        counters,
    };
}
