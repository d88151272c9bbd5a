/**
 * Tests of the choice of a member for an attempt. They guard against ejecting too many members, overloading the members
 * of one data centre, and retries at a member that was already tried.
 */
import { expect } from "chai";
import { createNodeState } from "../src/initialState.ts";
import { chooseMember, onAttemptEnded, onAttemptSent } from "../src/routing.ts";
import type { NodeState } from "../src/state.ts";
import type { Member } from "../src/types.ts";

const members: readonly Member[] = ["a", "a", "b", "b", "c", "c"].map((dataCentre, i) => ({
    id: `m${i}`,
    service: "gallery",
    address: { host: "10.0.0.1", port: 7_000 + i },
    dataCentre,
}));

function createState(): NodeState {
    const state = createNodeState({ self: { ...members[0]!, id: "self", service: "calendar" } });
    const view = { version: 1, offset: 0, members, voters: [] };
    return { ...state, control: { ...state.control, views: state.control.views.set("gallery", view) } };
}

function choices(state: NodeState, tried: readonly string[] = []): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (let i = 0; i < 1_000; i++) {
        const rand = (i + 0.5) / 1_000;
        const choice = chooseMember(state, {
            service: "gallery",
            kind: "browse",
            level: 500,
            tried,
            now: 100,
            rand,
        });
        const name = choice.type === "member" ? choice.member.id : choice.reason;
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return counts;
}

function withStats(state: NodeState, id: string, status: number, level = 1_023, times = 10): NodeState {
    let { routing } = state;
    const load = { level, inFlight: 0, limit: 10 };
    for (let i = 0; i < times; i++) {
        routing = onAttemptEnded(routing, id, {
            now: 100,
            kind: "browse",
            latencyMs: 10,
            outcome: { type: "ran", status },
            load,
        });
    }
    return { ...state, routing };
}

describe("routing", () => {
    it("prefers the node's own data centre, and uses others as the load of its members rises", () => {
        let state = members.reduce((next, { id }) => withStats(next, id, 200), createState());
        const idle = choices(state);
        expect((idle.get("m0") ?? 0) + (idle.get("m1") ?? 0)).to.equal(1_000);
        for (let i = 0; i < 10; i++) {
            const routing = onAttemptSent(onAttemptSent(state.routing, members[0]!), members[1]!);
            state = { ...state, routing };
        }
        const spilled = members.slice(2).map(({ id }) => choices(state).get(id) ?? 0);
        expect(Math.min(...spilled), "least share of a remote member").to.be.at.least(150);
    });

    it("ejects failing members, but never more than a third", () => {
        const one = withStats(createState(), "m0", 500);
        expect(choices(one).has("m0")).to.equal(false);
        const all = members.reduce((state, { id }) => withStats(state, id, 500), createState());
        expect(choices(all).size).to.be.at.least(4);
    });

    it("does not eject a member for status 503, which stands for a failure of a dependency", () => {
        const healthy = members.reduce((state, { id }) => withStats(state, id, 200), createState());
        expect(choices(withStats(healthy, "m0", 503)).has("m0")).to.equal(true);
    });

    it("refuses at the caller if all members have reported a cutoff below the level", () => {
        const some = members.slice(1).reduce(
            (state, { id }) => withStats(state, id, 200, 400),
            createState(),
        );
        expect([...choices(some).keys()]).to.deep.equal(["m0"]);
        const all = withStats(some, "m0", 200, 400);
        expect([...choices(all).keys()]).to.deep.equal(["level-at-caller"]);
        expect([...choices(createState(), members.map(({ id }) => id)).keys()]).to.deep.equal(["no-target"]);
    });
});
