/** Initial state of a node. */
import { createAdmissionState } from "./admission.ts";
import { createCallsState } from "./calls.ts";
import { createControlState } from "./controlLog.ts";
import { createCrashesState } from "./crashes.ts";
import { createDrainState } from "./drain.ts";
import { createLogReaderState } from "./logReader.ts";
import { createMembershipState } from "./membership.ts";
import { createOwnershipState } from "./ownership.ts";
import { createRecordsState } from "./records.ts";
import { createRetryBudgetsState } from "./retries.ts";
import { createRoutingState } from "./routing.ts";
import { createRunsState } from "./runs.ts";
import type { NodeState } from "./state.ts";
import { createStateFetchState } from "./stateFetch.ts";
import type { Address, Member } from "./types.ts";

export interface NodeOptions {
    readonly self: Member;
    readonly joinAddresses?: readonly Address[];
}

export function createNodeState(opts: NodeOptions): NodeState {
    return {
        self: opts.self,
        joinAddresses: opts.joinAddresses ?? [],
        draining: false,
        drain: createDrainState(),
        control: createControlState(),
        logReader: createLogReaderState(),
        stateFetch: createStateFetchState(),
        members: createMembershipState(),
        ownership: createOwnershipState(),
        records: createRecordsState(),
        crashes: createCrashesState(),
        calls: createCallsState(),
        routing: createRoutingState(),
        retryBudgets: createRetryBudgetsState(),
        runs: createRunsState(),
        admission: createAdmissionState(),
    };
}
