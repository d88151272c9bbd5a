/**
 * Limits on retries. The retry allowance of a request is divided among the calls of its chain, and no node can add
 * to it. In addition, a node has a retry budget for each service that it calls: each successful response adds a
 * fraction of a token to it, and each retry takes a whole one.
 */
import type { Map } from "immutable";
import { MAX_LEVEL } from "./cutoff.ts";
import type { Outcome } from "./types.ts";
import { emptyMap } from "./util.ts";

export interface RetryBudgetsState {
    /** Tokens by service; each retry takes one. */
    readonly tokens: Map<string, number>;
}

export function createRetryBudgetsState(): RetryBudgetsState {
    return { tokens: emptyMap() };
}

/** How many of the available retries the next attempt may use further down the chain. */
export function retriesToGrant(available: number): number {
    return Math.floor(available / 2);
}

const TOKENS_PER_SUCCESS = 0.1;
/** Allows some retries for a service that has had few calls. */
const INITIAL_TOKENS = 10;
const MAX_TOKENS = 100;

/** Adds to the retry budget of a service after a successful response. */
export function depositBudget(state: RetryBudgetsState, service: string): RetryBudgetsState {
    const tokens = state.tokens.get(service) ?? INITIAL_TOKENS;
    if (tokens >= MAX_TOKENS) return state;
    return { ...state, tokens: state.tokens.set(service, tokens + TOKENS_PER_SUCCESS) };
}

export function hasBudget(state: RetryBudgetsState, service: string): boolean {
    return (state.tokens.get(service) ?? INITIAL_TOKENS) >= 1;
}

export function withdrawBudget(state: RetryBudgetsState, service: string): RetryBudgetsState {
    return { ...state, tokens: state.tokens.set(service, (state.tokens.get(service) ?? INITIAL_TOKENS) - 1) };
}

/**
 * Whether an idempotent request may be retried at another target after this response. Only status 500 qualifies: a
 * target responds with 503 when one of its dependencies refused a call, and a retry would multiply the load of the
 * overloaded dependency.
 */
export function isRetryableResponse(outcome: Outcome): boolean {
    return outcome.type === "ran" && outcome.status === 500;
}

/** Retry-After time that grows as the cutoff falls; jitter keeps callers from retrying at the same time. */
export function jitteredRetryAfterMs(cutoff: number, rand: number): number {
    return Math.round((0.5 + rand) * 1_000 * (1 + 4 * (1 - Math.max(0, cutoff) / MAX_LEVEL)));
}
