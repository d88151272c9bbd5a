/** Whether a request is sent to another target after an outcome, and what that costs of the budgets of repeats. */
import type { Outcome } from "../mesh/types.ts";
import type { Charge } from "./retryBudget.ts";

export interface Attempted {
    readonly outcome: Outcome;
    readonly isIdempotent: boolean;
    /** Sends so far that may have reached a target. */
    readonly sends: number;
    /** Sends so far that were turned away by the node beside a target. */
    readonly redirects: number;
    readonly maxAttempts: number;
    readonly leftMs: number;
    /** Whether the services below are short of capacity. */
    readonly isOverloaded: boolean;
}

export type RetryDecision =
    | { readonly kind: "stop"; }
    /** The target has not seen the request: another send costs nothing. */
    | { readonly kind: "redirect"; }
    /** The target has seen the request: another send counts as a repeat. `mayHaveRun`: so do the calls of its run. */
    | { readonly kind: "repeat"; readonly mayHaveRun: boolean; };

const MAX_REDIRECTS = 3;
/** Less time than this is not worth another send. */
const MIN_LEFT_MS = 25;

/** Whether an outcome comes from the target, so that the send counts as a repeat of the first. */
export function wasSeenByTarget(outcome: Outcome): boolean {
    return outcome.kind !== "not-run" || outcome.reason === "target-shed"
        || outcome.reason === "wrong-instance";
}

/** Whether a request at a silent target may be sent to another one beside it. */
export function maySendBeside(
    { isIdempotent, sends, maxAttempts, leftMs }: Pick<
        Attempted,
        "isIdempotent" | "sends" | "maxAttempts" | "leftMs"
    >,
): boolean {
    // The send in progress will count too.
    return isIdempotent && sends + 1 < maxAttempts && leftMs > MIN_LEFT_MS;
}

export function decideRetry(attempted: Attempted): RetryDecision {
    const { outcome, leftMs } = attempted;
    if (leftMs < MIN_LEFT_MS) return { kind: "stop" };
    switch (outcome.kind) {
        case "not-run":
            return afterNotRun(attempted, wasSeenByTarget(outcome));
        case "unknown":
            return outcome.reason === "timeout" ? { kind: "stop" } : afterRun(attempted);
        case "answer":
            return outcome.status < 500 || attempted.isOverloaded ? { kind: "stop" } : afterRun(attempted);
    }
}

/** Calls of one run to one service below; a run that is repeated repeats them. */
const CALLS_PER_RUN = 4;

/** What another send costs: one at the service itself and, if the run is repeated, its calls at those below. */
export function repeatCharges(
    service: string,
    below: readonly string[],
    mayHaveRun: boolean,
): readonly Charge[] {
    const own = { service, sends: 1 };
    if (!mayHaveRun) return [own];
    return [own, ...below.map(used => ({ service: used, sends: CALLS_PER_RUN }))];
}

function afterNotRun({ sends, redirects, maxAttempts }: Attempted, wasSeen: boolean): RetryDecision {
    if (!wasSeen) return redirects < MAX_REDIRECTS ? { kind: "redirect" } : { kind: "stop" };
    return sends < maxAttempts ? { kind: "repeat", mayHaveRun: false } : { kind: "stop" };
}

function afterRun({ isIdempotent, sends, maxAttempts }: Attempted): RetryDecision {
    if (!isIdempotent || sends >= maxAttempts) return { kind: "stop" };
    return { kind: "repeat", mayHaveRun: true };
}
