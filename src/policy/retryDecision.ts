/** Decides whether a request is retried at another target, and how much of the retry budgets a retry costs. */
import type { Outcome } from "../mesh/types.ts";
import type { RetryCharge } from "./retryBudget.ts";

export interface RetryState {
    readonly outcome: Outcome;
    readonly isIdempotent: boolean;
    /** Number of attempts so far that may have reached a target. */
    readonly attempts: number;
    /** Number of attempts so far, the first one included, that were refused before they reached a target. */
    readonly refusedAttempts: number;
    /** Maximum of `attempts`. */
    readonly maxAttempts: number;
    /** Time in ms until the deadline. */
    readonly leftMs: number;
    /** Whether the cutoff of the service or of one of the route's dependencies is below `MAX_LEVEL`. */
    readonly isOverloaded: boolean;
}

export type RetryDecision =
    | { readonly kind: "stop"; }
    /** The target has not seen the request, so another attempt is not charged to the retry budget. */
    | { readonly kind: "transparent-retry"; }
    /**
     * A target may have seen the request, so another attempt is charged to the retry budget. If the request may have
     * run, the calls that it makes are charged as well.
     */
    | { readonly kind: "retry"; readonly mayHaveRun: boolean; };

/** After this number of `refusedAttempts`, the request is not retried; so it gets at most two transparent retries. */
const MAX_REFUSED_ATTEMPTS = 3;
/** Minimum time until the deadline for which another attempt is worthwhile. */
const MIN_RETRY_TIME_MS = 25;

/** Whether the request may have reached the target, so that the attempt counts towards `maxAttempts`. */
export function mayHaveReachedTarget(outcome: Outcome): boolean {
    return outcome.kind !== "not-run" || outcome.reason === "target-shed"
        || outcome.reason === "wrong-instance";
}

/** Whether a request whose target has stopped responding may be hedged, i.e. also be sent to a second target. */
export function mayHedge(
    { isIdempotent, attempts, maxAttempts, leftMs }: Pick<
        RetryState,
        "isIdempotent" | "attempts" | "maxAttempts" | "leftMs"
    >,
): boolean {
    // `attempts` does not include the attempt in progress.
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

/** Calls of a run to each dependency of its route, as long as none have been counted. */
const ASSUMED_CALLS_PER_DEPENDENCY = 4;

/**
 * Cost of a retry: one attempt at the service, plus the calls to the dependencies if the request may have run.
 * `callsBelow`: number of calls that a run makes to each service, as measured.
 */
export function retryCharges(
    service: string,
    { dependencies, callsBelow, mayHaveRun }: {
        readonly dependencies: readonly string[];
        readonly callsBelow: ReadonlyMap<string, number>;
        readonly mayHaveRun: boolean;
    },
): readonly RetryCharge[] {
    if (!mayHaveRun) return [{ service, attempts: 1 }];
    const attempts = new Map<string, number>([[service, 1]]);
    const add = (dependency: string, calls: number) =>
        attempts.set(dependency, (attempts.get(dependency) ?? 0) + calls);
    for (const [dependency, calls] of callsBelow) add(dependency, Math.ceil(calls));
    for (const dependency of dependencies) {
        if (!callsBelow.has(dependency)) add(dependency, ASSUMED_CALLS_PER_DEPENDENCY);
    }
    return [...attempts].map(([charged, count]) => ({ service: charged, attempts: count }));
}

function decideAfterNotRun(
    { attempts, refusedAttempts, maxAttempts }: RetryState,
    countsAsAttempt: boolean,
): RetryDecision {
    if (!countsAsAttempt) {
        return refusedAttempts < MAX_REFUSED_ATTEMPTS
            ? { kind: "transparent-retry" }
            : { kind: "stop" };
    }
    return attempts < maxAttempts ? { kind: "retry", mayHaveRun: false } : { kind: "stop" };
}

function decideAfterPossibleRun({ isIdempotent, attempts, maxAttempts }: RetryState): RetryDecision {
    if (!isIdempotent || attempts >= maxAttempts) return { kind: "stop" };
    return { kind: "retry", mayHaveRun: true };
}
