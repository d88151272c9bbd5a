/**
 * Extra attempts. One allowance per request is split, never made, on its way down the chain; besides, each
 * service has a budget as a share of its successes.
 */
import type { Map } from "immutable";
import { emptyMap } from "./util.ts";

export interface BudgetsState {
    /** Tokens per service. */
    readonly tokens: Map<string, number>;
}

export function createBudgetsState(): BudgetsState {
    return { tokens: emptyMap() };
}

/** How many of `held` extra attempts to hand down with the next attempt. */
export function shareOf(held: number): number {
    return Math.floor(held / 2);
}
