/** Which members are alive, as far as this node knows. */
import type { Map } from "immutable";
import type { MemberStatus } from "./peerMessages.ts";
import type { NodeState } from "./state.ts";
import type { Member } from "./types.ts";
import { emptyMap } from "./util.ts";

export interface MemberEntry {
    readonly member: Member;
    readonly status: MemberStatus;
    readonly refutation: number;
}

export interface MembershipState {
    readonly entries: Map<string, MemberEntry>;
}

export function createMembershipState(): MembershipState {
    return { entries: emptyMap() };
}

/** All known members of a service: those of its view, and those heard of otherwise. */
export function membersOf(state: NodeState, service: string): readonly Member[] {
    const viewed = state.control.views.get(service)?.members ?? [];
    const ids = new Set(viewed.map(member => member.id));
    const heard = state.members.entries.valueSeq()
        .filter(entry => entry.member.service === service && !ids.has(entry.member.id))
        .map(entry => entry.member);
    return [...viewed, ...heard];
}

/** Whether new work may be sent to a member. */
export function isRoutable(state: NodeState, member: Member): boolean {
    if (member.id === state.self.id) {
        return !state.draining && state.target !== undefined && !state.target.lost;
    }
    const status = state.members.entries.get(member.id)?.status ?? "alive";
    return status === "alive" || status === "suspect";
}
