/** Whether a request is sent to another target after an outcome, and what that costs of the budget of repeats. */
import type { Outcome } from "../mesh/types.ts";

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
    /** The target has seen the request: another send counts as a repeat. */
    | { readonly kind: "repeat"; readonly cost: number; };

const MAX_REDIRECTS = 3;
/** Less time than this is not worth another send. */
const MIN_LEFT_MS = 25;
/** A run that is repeated repeats its calls too. */
const REPEATED_RUN_COST = 2;

export function decideRetry(attempted: Attempted): RetryDecision {
    const { outcome, leftMs } = attempted;
    if (leftMs < MIN_LEFT_MS) return { kind: "stop" };
    switch (outcome.kind) {
        case "not-run":
            return afterNotRun(
                attempted,
                outcome.reason === "target-shed" || outcome.reason === "wrong-service",
            );
        case "unknown":
            return outcome.reason === "timeout" ? { kind: "stop" } : afterRun(attempted);
        case "answer":
            return outcome.status < 500 || attempted.isOverloaded ? { kind: "stop" } : afterRun(attempted);
    }
}

function afterNotRun({ sends, redirects, maxAttempts }: Attempted, wasSeen: boolean): RetryDecision {
    if (!wasSeen) return redirects < MAX_REDIRECTS ? { kind: "redirect" } : { kind: "stop" };
    return sends < maxAttempts ? { kind: "repeat", cost: 1 } : { kind: "stop" };
}

function afterRun({ isIdempotent, sends, maxAttempts }: Attempted): RetryDecision {
    if (!isIdempotent || sends >= maxAttempts) return { kind: "stop" };
    return { kind: "repeat", cost: REPEATED_RUN_COST };
}
