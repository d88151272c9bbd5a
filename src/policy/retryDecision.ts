/** Whether a request is sent to another target after an outcome, and what that costs of the budgets of repeats. */
import type { Outcome } from "../mesh/types.ts";
import type { RetryCharge } from "./retryBudget.ts";

export interface RetryState {
    readonly outcome: Outcome;
    readonly isIdempotent: boolean;
    /** Sends so far that may have reached a target. */
    readonly attempts: number;
    /** Sends so far that were turned away by the node beside a target. */
    readonly transparentRetries: number;
    readonly maxAttempts: number;
    readonly leftMs: number;
    /** Whether the services below are short of capacity. */
    readonly isOverloaded: boolean;
}

export type RetryDecision =
    | { readonly kind: "stop"; }
    /** The target has not seen the request: another send costs nothing. */
    | { readonly kind: "transparent-retry"; }
    /** The target has seen the request: another send counts as a repeat. `mayHaveRun`: so do the calls of its run. */
    | { readonly kind: "retry"; readonly mayHaveRun: boolean; };

const MAX_TRANSPARENT_RETRIES = 3;
/** Less time than this is not worth another send. */
const MIN_RETRY_TIME_MS = 25;

/** Whether an outcome comes from the target, so that the send counts as a repeat of the first. */
export function mayHaveReachedTarget(outcome: Outcome): boolean {
    return outcome.kind !== "not-run" || outcome.reason === "target-shed"
        || outcome.reason === "wrong-instance";
}

/** Whether a request at a silent target may be sent to another one beside it. */
export function mayHedge(
    { isIdempotent, attempts, maxAttempts, leftMs }: Pick<
        RetryState,
        "isIdempotent" | "attempts" | "maxAttempts" | "leftMs"
    >,
): boolean {
    // The send in progress will count too.
    return isIdempotent && attempts + 1 < maxAttempts && leftMs > MIN_RETRY_TIME_MS;
}

export function decideRetry(state: RetryState): RetryDecision {
    const { outcome, leftMs } = state;
    if (leftMs < MIN_RETRY_TIME_MS) return { kind: "stop" };
    switch (outcome.kind) {
        case "not-run":
            return decideAfterNotRun(state, mayHaveReachedTarget(outcome));
        case "unknown":
            return outcome.reason === "timeout" ? { kind: "stop" } : decideAfterPossibleRun(state);
        case "answer":
            return outcome.status < 500 || state.isOverloaded
                ? { kind: "stop" }
                : decideAfterPossibleRun(state);
    }
}

/** Calls of one run to one service below; a run that is repeated repeats them. */
const ASSUMED_CALLS_PER_DEPENDENCY = 4;

/** What another send costs: one at the service itself and, if the run is repeated, its calls at those below. */
export function retryCharges(
    service: string,
    dependencies: readonly string[],
    mayHaveRun: boolean,
): readonly RetryCharge[] {
    const ownCharge = { service, attempts: 1 };
    if (!mayHaveRun) return [ownCharge];
    return [
        ownCharge,
        ...dependencies.map(dependency => ({ service: dependency, attempts: ASSUMED_CALLS_PER_DEPENDENCY })),
    ];
}

function decideAfterNotRun(
    { attempts, transparentRetries, maxAttempts }: RetryState,
    hasReachedTarget: boolean,
): RetryDecision {
    if (!hasReachedTarget) {
        return transparentRetries < MAX_TRANSPARENT_RETRIES
            ? { kind: "transparent-retry" }
            : { kind: "stop" };
    }
    return attempts < maxAttempts ? { kind: "retry", mayHaveRun: false } : { kind: "stop" };
}

function decideAfterPossibleRun({ isIdempotent, attempts, maxAttempts }: RetryState): RetryDecision {
    if (!isIdempotent || attempts >= maxAttempts) return { kind: "stop" };
    return { kind: "retry", mayHaveRun: true };
}
