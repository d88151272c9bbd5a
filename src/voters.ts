/** Selection of the voters of a view. */
import { hash } from "node:crypto";
import type { NodeState } from "./state.ts";
import type { Member } from "./types.ts";

const MAX_VOTERS = 7;
const MIN_VOTERS = 5;

/**
 * Selects at most seven live members as voters, spread over the data centres. If there are fewer than five, adds
 * nodes of other services to make five, so that the view of a service with one or two targets survives the loss of a
 * host.
 */
export function pickVoters(state: NodeState, members: readonly Member[]): readonly Member[] {
    const isAlive = (member: Member) => state.members.entries.get(member.id)?.status !== "dead";
    const own = spreadOverDataCentres(members.filter(isAlive), state.self.service).slice(0, MAX_VOTERS);
    if (own.length >= MIN_VOTERS) return own;
    const leaving = new Set(state.draining ? [state.self.id] : []);
    const others = state.control.views.valueSeq()
        .flatMap(view => view.members)
        .filter(member => member.service !== state.self.service && isAlive(member) && !leaving.has(member.id))
        .toArray();
    const countByDataCentre = new Map<string, number>();
    for (const { dataCentre } of own) {
        countByDataCentre.set(dataCentre, (countByDataCentre.get(dataCentre) ?? 0) + 1);
    }
    return [...own, ...spreadOverDataCentres(others, state.self.service, countByDataCentre)].slice(
        0,
        MIN_VOTERS,
    );
}

/**
 * Orders members so that every prefix of the result is spread evenly over the data centres, together with the voters
 * already counted in `countByDataCentre`. Ties are broken by a hash of the service and the member's id.
 */
function spreadOverDataCentres(
    members: readonly Member[],
    service: string,
    countByDataCentre: ReadonlyMap<string, number> = new Map(),
): readonly Member[] {
    const ranks = new Map(countByDataCentre);
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
