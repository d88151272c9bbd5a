/** Readiness of a node: the requirements that it must meet before it can serve requests. */
import type { NodeState } from "./state.ts";
import { findService } from "./state.ts";

export type MissingRequirement =
    | { readonly type: "configuration"; }
    | { readonly type: "target"; }
    | { readonly type: "view-membership"; }
    | { readonly type: "member"; readonly service: string; }
    | { readonly type: "draining"; };

/**
 * Returns the requirements that are not met; the node is ready when there are none. A request that arrives earlier
 * can fail permanently: the calls of its target may be refused, and if the target then responds to a non-idempotent
 * request with an error, that error response is recorded and replayed to all retries.
 */
export function missingRequirements(state: NodeState): readonly MissingRequirement[] {
    const { control, self, target, draining } = state;
    const missing: MissingRequirement[] = [];
    if (draining) missing.push({ type: "draining" });
    if (control.config === undefined) missing.push({ type: "configuration" });
    if (target === undefined || target.lost) missing.push({ type: "target" });
    const isMember = control.views.get(self.service)?.members.some(member => member.id === self.id) ?? false;
    if (!isMember) missing.push({ type: "view-membership" });
    for (const service of findService(state, self.service)?.calls ?? []) {
        const members = control.views.get(service)?.members ?? [];
        if (members.length === 0) missing.push({ type: "member", service });
    }
    return missing;
}
