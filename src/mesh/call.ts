/** State of a call, i.e. of a request at the node that chooses its target, from its arrival to its response. */
import type { SendResponse } from "../http/httpServer.ts";
import type { RequestHead } from "../http/messageHead.ts";
import type { HttpMessage } from "../http/messageReader.ts";
import type { KnownNode } from "./nodeDirectory.ts";
import type { Run } from "./runner.ts";
import type { ClientAccount, Outcome, RefusalReason, Route } from "./types.ts";

export interface Call {
    readonly req: HttpMessage<RequestHead>;
    readonly route: Route;
    readonly service: string;
    /** Run at the local target that made this request; `undefined` for a request from a client. */
    readonly parent: Run | undefined;
    /** Account of the client; `undefined` for nested calls, anonymous requests and if there are no accounts. */
    readonly account: ClientAccount | undefined;
    /** Whether this may be a nested call whose run has ended, so that it is refused. */
    readonly isCallerUnknown: boolean;
    /** Whether every step of this request is logged. */
    readonly isTraced: boolean;
    /** Whether the level also depends on what the account is owed, which is decided once the quota admits the call. */
    readonly sharesPriority: boolean;
    /** Admission level; lower levels are more important. */
    level: number;
    /** Arrival of the request in ms, as `steadyNow()` time. `deadlineAt` uses the same clock. */
    readonly startedAt: number;
    readonly deadlineAt: number;
    readonly respond: SendResponse;
    /** Nodes chosen for an attempt, also if it was refused before it reached the target. None is chosen twice. */
    readonly triedNodes: KnownNode[];
    deadlineTimer: NodeJS.Timeout | undefined;
    /** Ended attempts that may have reached a target; `maxAttempts` limits their number. Logged as `sends`. */
    attempts: number;
    /** Ended attempts that were refused before they reached a target, logged as `redirects`. */
    refusedAttempts: number;
    /** Whether a target may have executed the request in one of the attempts. */
    mayHaveRun: boolean;
    /** Cancels the attempt in progress or the wait for a target. */
    cancelAttempt: (() => void) | undefined;
    /**
     * Cancels the hedged attempt, i.e. the first of two concurrent ones, whose target has stopped responding. Its
     * response is still used if it has a status below 500 and arrives first.
     */
    cancelEarlierAttempt: (() => void) | undefined;
    /** Whether the call has taken a request out of its account's quota and not given it back. */
    holdsQuota: boolean;
    /** Whether the decision about the account's quota is still to come; no attempt has been started then. */
    isWaitingForQuota: boolean;
    isDone: boolean;
}

type CallFields = Pick<
    Call,
    | "req"
    | "route"
    | "service"
    | "parent"
    | "account"
    | "isCallerUnknown"
    | "sharesPriority"
    | "isTraced"
    | "level"
    | "startedAt"
    | "deadlineAt"
    | "respond"
>;

/** Creates the state of a call that has had no attempt yet. The fields are listed because a spread is slow on the request path. */
export function createCall(fields: CallFields): Call {
    return {
        req: fields.req,
        route: fields.route,
        service: fields.service,
        parent: fields.parent,
        account: fields.account,
        isCallerUnknown: fields.isCallerUnknown,
        sharesPriority: fields.sharesPriority,
        isTraced: fields.isTraced,
        level: fields.level,
        startedAt: fields.startedAt,
        deadlineAt: fields.deadlineAt,
        respond: fields.respond,
        triedNodes: [],
        deadlineTimer: undefined,
        attempts: 0,
        refusedAttempts: 0,
        mayHaveRun: false,
        cancelAttempt: undefined,
        cancelEarlierAttempt: undefined,
        holdsQuota: false,
        isWaitingForQuota: false,
        isDone: false,
    };
}

/**
 * Whether the load balancer should avoid a target for a while after an outcome: the connection was lost, or the request
 * was not executed for a reason that concerns more than this request, e.g. the target is down, draining or of another
 * service. A target that refuses for a reason in `NO_AVOIDANCE_REASONS`, responds too late or responds unusably is not
 * avoided.
 */
export function shouldAvoidTarget(outcome: Outcome): boolean {
    switch (outcome.kind) {
        case "answer":
            return false;
        case "unknown":
            return outcome.reason === "link-lost" || outcome.reason === "connection-lost";
        case "not-run":
            return !NO_AVOIDANCE_REASONS.includes(outcome.reason);
    }
}

/**
 * Refusals because of load, a short deadline or a body for which there is no memory; the target may be able to run other
 * requests.
 */
const NO_AVOIDANCE_REASONS: readonly string[] = [
    "overload",
    "queue-timeout",
    "deadline",
    "target-shed",
    "memory",
];

const MAX_TARGET_WAIT_MS = 250;
const TARGET_WAIT_SHARE_OF_OBJECTIVE = 0.25;

/** Longest time in ms that a call waits while its service has no usable target. */
export function maxTargetWaitMs(call: Call): number {
    return Math.min(MAX_TARGET_WAIT_MS, call.route.latencyObjectiveMs * TARGET_WAIT_SHARE_OF_OBJECTIVE);
}

export function refusalReasonOf(outcome: Outcome): RefusalReason | undefined {
    return outcome.kind === "not-run" ? outcome.reason : undefined;
}
