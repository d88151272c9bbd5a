/**
 * Extra attempts. One allowance per request is split, never made, on its way down the chain; besides, each
 * service has a budget as a share of its successes.
 */
import type { Map } from "immutable";
import { MAX_LEVEL } from "./levels.ts";
import type { Outcome } from "./types.ts";
import { emptyMap } from "./util.ts";

export interface RetryBudgetsState {
    /** Tokens per service. */
    readonly tokens: Map<string, number>;
}

export function createRetryBudgetsState(): RetryBudgetsState {
    return { tokens: emptyMap() };
}

/** How many of `held` extra attempts to hand down with the next attempt. */
export function retriesToGrant(available: number): number {
    return Math.floor(available / 2);
}

const TOKENS_PER_SUCCESS = 0.1;
/** Lets a service that has few calls repeat some. */
const INITIAL_TOKENS = 10;
const MAX_TOKENS = 100;

/** Earns tokens for extra attempts of a service by a success. */
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
 * Whether a target's own answer may be repeated elsewhere for an idempotent kind. Only status 500: a target answers
 * 503 when a service below refused, and a repetition there would multiply the load of the overloaded service.
 */
export function isRetryableResponse(outcome: Outcome): boolean {
    return outcome.type === "ran" && outcome.status === 500;
}

/** Retry-after that grows as the cut-off falls, spread by a random number so that callers do not return together. */
export function jitteredRetryAfterMs(cutoff: number, rand: number): number {
    return Math.round((0.5 + rand) * 1_000 * (1 + 4 * (1 - Math.max(0, cutoff) / MAX_LEVEL)));
}
