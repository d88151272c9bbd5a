/** View changes, voters and keys: a partition side without a majority of voters must not change a view. */
import { expect } from "chai";
import { createNodeState } from "../src/initialState.ts";
import { callerKey, isKeyExpired, ownerOf, parseMintedKey, uuidAgeMs } from "../src/keys.ts";
import { createPromiseResponse } from "../src/leases.ts";
import { createEntry } from "../src/membership.ts";
import { backChange } from "../src/viewChanges.ts";
import { pickVoters } from "../src/voters.ts";
import { BookingCluster } from "./fakes/bookingCluster.ts";

function createMember(id: string, dataCentre = "a", service = "booking") {
    return { id, service, dataCentre, address: { host: "10.0.0.1", port: 7_000 + id.charCodeAt(0) } };
}

function createView(members: readonly ReturnType<typeof createMember>[]) {
    return { version: 1, offset: 0, members, voters: members };
}

describe("views", () => {
    it("lets all nodes of a service join when their proposals race", () => {
        const bookings = new BookingCluster({ nodes: 7 }).settle();
        expect(bookings.memberIds(bookings.nodes[0]!)).to.have.length(7);
        expect(bookings.viewAt(bookings.nodes[0]!).voters).to.have.length(7);
    });

    it("excludes a dead member, and removes a leaving node, which exits", () => {
        const bookings = new BookingCluster().settle();
        const [first, second, third] = bookings.nodes;
        second!.killHost();
        third!.drain();
        bookings.world.run(10_000);
        expect(bookings.memberIds(first!)).to.have.length(3);
        expect(third!.alive).to.equal(false);
    });

    it("excludes all dead members with one record", () => {
        const bookings = new BookingCluster({ nodes: 7 }).settle();
        const { version } = bookings.viewAt(bookings.nodes[0]!);
        bookings.nodes.slice(4).forEach(node => node.killHost());
        bookings.world.run(10_000);
        expect(bookings.viewAt(bookings.nodes[0]!).version).to.equal(version + 1);
        expect(bookings.memberIds(bookings.nodes[0]!)).to.have.length(4);
    });

    it("changes a view only once when the response to the append is lost", () => {
        const bookings = new BookingCluster().settle();
        const { version } = bookings.viewAt(bookings.nodes[0]!);
        bookings.world.log.loseAnswers = true;
        bookings.nodes[1]!.killHost();
        bookings.world.run(10_000);
        expect(bookings.viewAt(bookings.nodes[0]!).version).to.equal(version + 1);
    });

    it("does not let members join through a minority, even if the minority reads the log", () => {
        const bookings = new BookingCluster().settle();
        const { world, nodes } = bookings;
        const minority = nodes.slice(0, 2);
        const majority = nodes.slice(2);
        world.setLinks(false, minority, majority);
        world.setLinks(false, majority, ["log"]);
        for (let i = 0; i < 4; i++) {
            const joiner = bookings.add("booking", i);
            world.setLinks(false, majority, [joiner]);
        }
        world.run(20_000);
        expect(bookings.memberIds(minority[0]!)).to.have.length(5);
    });

    it("replaces the members when all processes restart at their addresses", () => {
        const bookings = new BookingCluster({ nodes: 3 }).settle();
        const old = [...bookings.nodes];
        old.forEach(node => node.killHost());
        const fresh = old.map((node, index) => bookings.add("booking", index, node.member.address));
        bookings.world.run(20_000);
        const ids = fresh.map(node => node.member.id);
        expect([...bookings.memberIds(fresh[0]!)].sort()).to.deep.equal(ids.sort());
    });
});

describe("voters", () => {
    it("give no promise for a version from which they have backed a change", () => {
        const state = createNodeState({ self: createMember("a") });
        const request = { type: "view.back", service: "booking", baseVersion: 3, change: "join" } as const;
        const backed = backChange(state, { ...request, members: [createMember("b")] });
        expect(backed.backers).to.deep.equal(["a"]);
        expect(createPromiseResponse(state, "booking", 3)).to.have.property("voter", "a");
        expect(createPromiseResponse(backed.state, "booking", 3)).not.to.have.property("voter");
    });

    it("back the exclusion only of members that their own failure detector reports dead", () => {
        const state = createNodeState({ self: createMember("a") });
        const member = createMember("b");
        const request = { type: "view.back", service: "booking", baseVersion: 3, change: "exclude" } as const;
        expect(backChange(state, { ...request, members: [member] }).backers).to.deep.equal([]);
        const entries = state.members.entries.set("b", { ...createEntry(member, 0), status: "dead" });
        const seen = { ...state, members: { ...state.members, entries } };
        expect(backChange(seen, { ...request, members: [member] }).backers).to.deep.equal(["a"]);
    });

    it("are spread over the data centres, with nodes of other services if there are too few", () => {
        const state = createNodeState({ self: createMember("a") });
        const others = ["p", "q", "r", "s"].map((id, index) =>
            createMember(id, index < 3 ? "a" : "b", "gallery")
        );
        const views = state.control.views.set("gallery", createView(others));
        const known = { ...state, control: { ...state.control, views } };
        const voters = pickVoters(known, [createMember("a", "a"), createMember("b", "b")]);
        expect(voters).to.have.length(5);
        expect(voters.slice(0, 2).map(voter => voter.service)).to.deep.equal(["booking", "booking"]);
        expect(voters.filter(voter => voter.dataCentre === "b")).to.have.length(2);
        const many = [..."abcdefghij"].map((id, index) => createMember(id, index < 6 ? "a" : "b"));
        expect(pickVoters(state, many).filter(voter => voter.dataCentre === "b").length).to.be.within(3, 4);
    });
});

describe("keys", () => {
    it("change owners only if their owner leaves, and are distributed evenly", () => {
        const members = [..."abcde"].map(id => createMember(id));
        const before = createView(members);
        const after = createView(members.slice(1));
        const keys = Array.from({ length: 5_000 }, (_, index) => `entry:${index}`);
        const owned = new Map<string, number>();
        for (const key of keys) {
            const owner = ownerOf(before, key)!.id;
            owned.set(owner, (owned.get(owner) ?? 0) + 1);
            if (owner !== "a") expect(ownerOf(after, key)!.id).to.equal(owner);
        }
        for (const count of owned.values()) expect(count).to.be.within(800, 1_200);
    });

    it("from callers are never parsed as minted keys", () => {
        for (const from of ["entry", "egress"] as const) {
            expect(parseMintedKey(callerKey(from, "minted:9:a:x"))).to.equal(undefined);
            expect(callerKey(from, "k".repeat(1_000)).length).to.be.below(257);
        }
        expect(callerKey("entry", "k")).not.to.equal(callerKey("egress", "k"));
    });

    it("that are UUIDv7 have an age", () => {
        const madeAt = 0x0192_0000_0000;
        const age = uuidAgeMs("01920000-0000-7000-8000-000000000000", madeAt + 550_000);
        expect(age).to.equal(550_000);
        expect(isKeyExpired(age!, 600_000, 1_000)).to.equal(true);
        expect(isKeyExpired(age! - 20_000, 600_000, 1_000)).to.equal(false);
        expect(uuidAgeMs("f47ac10b-58cc-4372-a567-0e02b2c3d479", madeAt)).to.equal(undefined);
    });
});
