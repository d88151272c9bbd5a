/** Type of a node's whole state, and of the result that each reducer function returns. */
import type { AdmissionState } from "./admission.ts";
import type { CallsState } from "./calls.ts";
import type { ControlState } from "./controlLog.ts";
import type { CrashesState } from "./crashes.ts";
import type { DrainState } from "./drain.ts";
import type { Effect } from "./effects.ts";
import type { LogReaderState } from "./logReader.ts";
import type { MembershipState } from "./membership.ts";
import type { OwnershipState } from "./ownership.ts";
import type { RecordsState } from "./records.ts";
import type { RetryBudgetsState } from "./retries.ts";
import type { RoutingState } from "./routing.ts";
import type { RunsState } from "./runs.ts";
import type { StateFetchState } from "./stateFetch.ts";
import type { Address, Kind, Member, Service } from "./types.ts";

/** The target of this node: the instance of its service on the same host. */
export interface LocalTarget {
    readonly address: Address;
    readonly announcedAt: number;
    /** Whether a `target_lost` event has occurred since the target last announced itself. */
    readonly lost: boolean;
}

export interface NodeState {
    readonly self: Member;
    /** Addresses of other nodes, from the settings. */
    readonly joinAddresses: readonly Address[];
    readonly target?: LocalTarget | undefined;
    readonly draining: boolean;
    readonly drain: DrainState;
    readonly control: ControlState;
    readonly logReader: LogReaderState;
    readonly stateFetch: StateFetchState;
    readonly members: MembershipState;
    readonly ownership: OwnershipState;
    readonly records: RecordsState;
    readonly crashes: CrashesState;
    readonly calls: CallsState;
    readonly routing: RoutingState;
    readonly retryBudgets: RetryBudgetsState;
    readonly runs: RunsState;
    readonly admission: AdmissionState;
}

/** The result of a reducer function. */
export interface Step {
    readonly state: NodeState;
    readonly effects: readonly Effect[];
}

export function step(state: NodeState, ...effects: readonly Effect[]): Step {
    return { state, effects };
}

/** Applies a second step to the state of the first one, and concatenates their effects. */
export function andThen(first: Step, next: (state: NodeState) => Step): Step {
    const second = next(first.state);
    if (first.effects.length === 0) return second;
    if (second.effects.length === 0) return { state: second.state, effects: first.effects };
    return { state: second.state, effects: [...first.effects, ...second.effects] };
}

export function findKind(state: NodeState, name: string): Kind | undefined {
    return state.control.config?.configuration.kinds.find(kind => kind.name === name);
}

export function findService(state: NodeState, name: string): Service | undefined {
    return state.control.config?.configuration.services.find(service => service.name === name);
}
