/**
 * What a node believes of the load below a route: the smoothed cut-off that answers of the route have told. The
 * entry refuses by it before a request costs anything. Without news the belief rises, so that requests are tried
 * again after an overload.
 */
import { MAX_LEVEL } from "./level.ts";

const SMOOTHING = 0.08;
const FRESH_MS = 400;
/** Levels a ms by which a belief rises once it is older than `FRESH_MS`. */
const RISE_PER_MS = 0.25;

export class RouteCutoffs {
    private readonly beliefs = new Map<string, { level: number; at: number; }>();

    learn(route: string, cutoff: number, now: number): void {
        const belief = this.beliefs.get(route);
        if (belief === undefined) {
            if (cutoff < MAX_LEVEL) this.beliefs.set(route, { level: cutoff, at: now });
            return;
        }
        const known = aged(belief, now);
        belief.level = known + SMOOTHING * (cutoff - known);
        belief.at = now;
        if (belief.level > MAX_LEVEL - 1) this.beliefs.delete(route);
    }

    cutoffOf(route: string, now: number): number {
        const belief = this.beliefs.get(route);
        return belief === undefined ? MAX_LEVEL : Math.round(aged(belief, now));
    }
}

function aged(belief: { readonly level: number; readonly at: number; }, now: number): number {
    const age = now - belief.at - FRESH_MS;
    return age <= 0 ? belief.level : Math.min(MAX_LEVEL, belief.level + age * RISE_PER_MS);
}
