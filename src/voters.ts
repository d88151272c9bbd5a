/** Choice of the voters of a view. */
import { hash } from "node:crypto";
import type { NodeState } from "./state.ts";
import type { Member } from "./types.ts";

const VOTER_LIMIT = 7;
const VOTER_MINIMUM = 5;

/**
 * Up to seven live members, spread over the data centres; fewer than five are topped up with nodes of other
 * services, so that a service of one or two targets survives the loss of a host.
 */
export function pickVoters(state: NodeState, members: readonly Member[]): readonly Member[] {
    const live = (member: Member) => state.members.entries.get(member.id)?.status !== "dead";
    const own = spread(members.filter(live), state.self.service).slice(0, VOTER_LIMIT);
    if (own.length >= VOTER_MINIMUM) return own;
    const leaving = new Set(state.draining ? [state.self.id] : []);
    const others = state.control.views.valueSeq()
        .flatMap(view => view.members)
        .filter(member => member.service !== state.self.service && live(member) && !leaving.has(member.id))
        .toArray();
    const used = new Map<string, number>();
    for (const { dataCentre } of own) used.set(dataCentre, (used.get(dataCentre) ?? 0) + 1);
    return [...own, ...spread(others, state.self.service, used)].slice(0, VOTER_MINIMUM);
}

/** Orders members so that each prefix uses the data centres evenly; within one, by a hash for the service. */
function spread(
    members: readonly Member[],
    service: string,
    used: ReadonlyMap<string, number> = new Map(),
): readonly Member[] {
    const ranks = new Map(used);
    return members
        .map(member => ({ member, order: hash("sha256", `${service}\0${member.id}`) }))
        .sort((a, b) => a.order < b.order ? -1 : 1)
        .map(({ member, order }) => {
            const rank = ranks.get(member.dataCentre) ?? 0;
            ranks.set(member.dataCentre, rank + 1);
            return { member, order, rank };
        })
        .sort((a, b) => a.rank - b.rank || (a.order < b.order ? -1 : 1))
        .map(({ member }) => member);
}
