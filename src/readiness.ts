/** Whether a node can serve: what it still waits for after its start. */
import type { NodeState } from "./state.ts";
import { findService } from "./state.ts";

export type MissingRequirement =
    | { readonly type: "configuration"; }
    | { readonly type: "target"; }
    | { readonly type: "view-membership"; }
    | { readonly type: "member"; readonly service: string; }
    | { readonly type: "draining"; };

/**
 * Everything that is missing; a node without an entry is ready. A call that arrives earlier is refused, and
 * for a non-idempotent kind a target's answer made of such a refusal is recorded and replayed.
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
