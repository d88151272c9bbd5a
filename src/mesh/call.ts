/** A request that this node forwards, from its arrival to its answer. */
import type { SendResponse } from "../http/httpServer.ts";
import type { RequestHead } from "../http/messageHead.ts";
import type { HttpMessage } from "../http/messageReader.ts";
import type { KnownNode } from "./nodeDirectory.ts";
import type { Run } from "./runner.ts";
import type { Outcome, Route } from "./types.ts";

export interface Call {
    readonly req: HttpMessage<RequestHead>;
    readonly route: Route;
    readonly service: string;
    readonly parent: Run | undefined;
    /** Whether each step leaves a line in the log. */
    readonly isTraced: boolean;
    readonly level: number;
    readonly startedAt: number;
    readonly deadlineAt: number;
    readonly respond: SendResponse;
    readonly triedNodes: KnownNode[];
    deadlineTimer: NodeJS.Timeout | undefined;
    attempts: number;
    transparentRetries: number;
    /** Whether some send may have run the request. */
    mayHaveRun: boolean;
    /** Ends the send in progress. */
    cancelAttempt: (() => void) | undefined;
    /** Ends an earlier send to a target that has gone silent; its answer still counts. */
    cancelEarlierAttempt: (() => void) | undefined;
    isDone: boolean;
}

/** Whether an outcome says that the target or the way to it is at fault, and not its load or the request. */
export function isTargetFault(outcome: Outcome): boolean {
    switch (outcome.kind) {
        case "answer":
            return false;
        case "unknown":
            return outcome.reason === "link-lost" || outcome.reason === "connection-lost";
        case "not-run":
            return !NO_FAULT_REASONS.includes(outcome.reason);
    }
}

const NO_FAULT_REASONS: readonly string[] = ["overload", "queue-timeout", "deadline", "target-shed"];

const MAX_TARGET_WAIT_MS = 250;
const TARGET_WAIT_SHARE_OF_OBJECTIVE = 0.25;

/** Time in ms that a request without any target waits for one. */
export function maxTargetWaitMs(call: Call): number {
    return Math.min(MAX_TARGET_WAIT_MS, call.route.latencyObjectiveMs * TARGET_WAIT_SHARE_OF_OBJECTIVE);
}
