/** Leases and handovers under faults: a former and a new owner of a key must not both start a request with it. */
import { expect } from "chai";
import { BookingCluster } from "./fakes/bookingCluster.ts";
import type { FakeNode } from "./fakes/fakeNode.ts";
import type { CallResult } from "./fakes/world.ts";

/** Sends a booking with the same key through several nodes, one after the other. */
function sendThroughEach(
    bookings: BookingCluster,
    nodes: readonly FakeNode[],
    key: string,
): readonly (CallResult | undefined)[] {
    return nodes.map(node => bookings.book(node, key));
}

function reasonOf(result: CallResult | undefined): string {
    return result === undefined ? "none" : result.type === "answered" ? "answered" : result.reason;
}

describe("ownership under faults", () => {
    it("starts a request at most once when the owner of its key receives it while paused and is excluded", () => {
        const bookings = new BookingCluster().settle();
        const [caller, keyOwner] = bookings.nodes;
        const key = bookings.keyOwnedBy(caller!, owner => owner === keyOwner);
        keyOwner!.pause();
        bookings.book(caller!, key, 30_000);
        expect(bookings.memberIds(caller!)).not.to.include(keyOwner!.member.id);
        bookings.book(caller!, key);
        keyOwner!.resume();
        bookings.world.run(5_000);
        expect(bookings.startCount(key)).to.be.at.most(1);
    });

    it("does not start a request with a long deadline after a pause beyond the lease", () => {
        const bookings = new BookingCluster({ deadlineMs: 60_000 }).settle();
        const [caller, keyOwner, otherCaller] = bookings.nodes;
        const key = bookings.keyOwnedBy(caller!, owner => owner === keyOwner);
        keyOwner!.pause();
        bookings.book(caller!, key, 30_000);
        keyOwner!.resume();
        bookings.world.run(1);
        expect(bookings.startCount(key)).to.equal(0);
        bookings.book(otherCaller!, key, 5_000);
        expect(bookings.startCount(key)).to.be.at.most(1);
    });

    it("passes the end of the lease to the target", () => {
        const bookings = new BookingCluster().settle();
        const [caller, keyOwner] = bookings.nodes;
        const startLimits: (number | undefined)[] = [];
        keyOwner!.onEffect = effect => {
            if (effect.type === "forward_run") startLimits.push(effect.startBefore);
        };
        bookings.book(caller!, bookings.keyOwnedBy(caller!, owner => owner === keyOwner), 10);
        expect(startLimits).to.have.length(1);
        expect(startLimits[0]).to.be.within(bookings.world.now, bookings.world.now + 6_000);
    });

    it("starts no run with an expired lease after the clock has jumped", () => {
        const bookings = new BookingCluster().settle();
        const [caller, keyOwner] = bookings.nodes;
        const key = bookings.keyOwnedBy(caller!, owner => owner === keyOwner);
        const ctx = {
            requestId: "0".repeat(32),
            kind: "book",
            key: `entry:${key}`,
            deadlineMs: 1_000,
            retries: 0,
            depth: 1,
            sender: "test",
        };
        const event = { type: "run_started", run: 1_000_000, ctx, fingerprint: "f", rand: 0 } as const;
        const jumped = bookings.world.reduce(keyOwner!.state, { ...event, now: bookings.world.now + 7_000 });
        expect(jumped.effects.some(effect => effect.type === "forward_run")).to.equal(false);
        const onTime = bookings.world.reduce(keyOwner!.state, { ...event, now: bookings.world.now });
        expect(onTime.effects.some(effect => effect.type === "forward_run")).to.equal(true);
    });

    it("runs requests only on the side of a partition that reads the log, even if it is the minority", () => {
        const bookings = new BookingCluster().settle();
        const { nodes, world } = bookings;
        const minority = nodes.slice(0, 2);
        const majority = nodes.slice(2);
        const keys = minority.map(node => bookings.keyOwnedBy(nodes[0]!, owner => owner === node));
        world.setLinks(false, minority, majority);
        world.setLinks(false, majority, ["log"]);
        world.run(30_000);
        const minorityResults = keys.map(key => bookings.book(minority[0]!, key));
        const majorityResults = keys.map(key => bookings.book(majority[0]!, key));
        expect(minorityResults.map(reasonOf)).to.deep.equal(["answered", "answered"]);
        expect(majorityResults.map(reasonOf)).to.deep.equal(["owner-unreachable", "owner-unreachable"]);
        expect(keys.map(key => bookings.startCount(key))).to.deep.equal([1, 1]);
    });

    it("excludes a minority that cannot read the log, which then starts no further requests", () => {
        const bookings = new BookingCluster().settle();
        const { nodes, world } = bookings;
        const minority = nodes.slice(0, 2);
        const majority = nodes.slice(2);
        const keys = minority.map(node => bookings.keyOwnedBy(nodes[0]!, owner => owner === node));
        world.setLinks(false, minority, majority);
        world.setLinks(false, minority, ["log"]);
        const resultsBefore = keys.map(key => bookings.book(minority[0]!, key, 100));
        world.run(30_000);
        const minorityResults = keys.map(key => bookings.book(minority[0]!, key));
        const majorityResults = keys.map(key => bookings.book(majority[0]!, key));
        expect(resultsBefore.map(reasonOf)).to.deep.equal(["answered", "answered"]);
        expect(minorityResults.every(result => result?.type !== "answered" || result.status === 200)).to
            .equal(true);
        expect(majorityResults.map(reasonOf)).to.deep.equal(["inherited-key", "inherited-key"]);
        expect(keys.map(key => bookings.startCount(key))).to.deep.equal([1, 1]);
        const newResult = bookings.book(minority[0]!);
        expect(reasonOf(newResult)).to.equal("no-proof");
        expect(reasonOf(bookings.book(majority[0]!))).to.equal("answered");
    });

    it("accepts bookings with leases from promises in a log outage, on the majority side of a partition only", () => {
        const bookings = new BookingCluster().settle();
        const { nodes, world } = bookings;
        world.log.outage = true;
        world.run(60_000);
        expect(reasonOf(bookings.book(nodes[0]!))).to.equal("answered");
        world.setLinks(false, nodes.slice(0, 2), nodes.slice(2));
        world.run(60_000);
        expect(reasonOf(bookings.book(nodes[0]!))).to.equal("no-proof");
        expect(reasonOf(bookings.book(nodes[2]!))).to.equal("answered");
        world.log.outage = false;
        world.setLinks(true, nodes.slice(0, 2), nodes.slice(2));
        world.run(30_000);
        expect(reasonOf(bookings.book(nodes[0]!))).to.equal("answered");
    });

    it("renews the lease of a node that cannot read the log when peers report their reads", () => {
        const bookings = new BookingCluster().settle();
        const { nodes, world } = bookings;
        world.setLinks(false, [nodes[0]!], ["log"]);
        nodes[4]!.killHost();
        world.run(30_000);
        const key = bookings.keyOwnedBy(nodes[1]!, owner => owner === nodes[0]);
        expect(bookings.viewAt(nodes[0]!).version).to.equal(bookings.viewAt(nodes[1]!).version);
        expect(reasonOf(bookings.book(nodes[1]!, key))).to.equal("answered");
    });

    it("reports an unknown outcome for a key whose owner crashed, and accepts new bookings", () => {
        const bookings = new BookingCluster().settle();
        const [caller, keyOwner] = bookings.nodes;
        const key = bookings.keyOwnedBy(caller!, owner => owner === keyOwner);
        bookings.book(caller!, key, 100);
        bookings.world.log.loseAnswers = true;
        keyOwner!.killHost();
        bookings.world.run(20_000);
        expect(sendThroughEach(bookings, [caller!, bookings.nodes[2]!], key).map(reasonOf))
            .to.deep.equal(["inherited-key", "inherited-key"]);
        expect(bookings.startCount(key)).to.equal(1);
        expect(reasonOf(bookings.book(caller!))).to.equal("answered");
    });

    it("accepts new bookings while a crashed member is still in the view", () => {
        const bookings = new BookingCluster().settle();
        bookings.nodes[1]!.killHost();
        for (let i = 0; i < 40; i++) {
            expect(reasonOf(bookings.book(bookings.nodes[0]!, undefined, 250))).to.equal("answered");
        }
    });

    it("hands over records at a join, so that a caller's retry gets the recorded response from the new owner", () => {
        const bookings = new BookingCluster().settle();
        const [caller] = bookings.nodes;
        const keys = Array.from({ length: 40 }, (_, index) => `k${index}`);
        keys.forEach(key => bookings.book(caller!, key, 20));
        const joiner = bookings.add("booking", 0);
        bookings.world.run(3_000);
        const moved = keys.filter(key => bookings.ownerOf(caller!, key) === joiner);
        expect(moved).not.to.have.length(0);
        expect(moved.map(key => reasonOf(bookings.book(caller!, key, 500))))
            .to.deep.equal(moved.map(() => "answered"));
        expect(keys.map(key => bookings.startCount(key))).to.deep.equal(keys.map(() => 1));
        const newKey = bookings.keyOwnedBy(caller!, owner => owner === joiner, "fresh");
        expect(reasonOf(bookings.book(caller!, newKey, 500))).to.equal("answered");
    });

    it("waits until the lease of a former owner has expired if the owner cannot hand over its keys", () => {
        const bookings = new BookingCluster({ deadlineMs: 10_000 }).settle();
        const { nodes, world } = bookings;
        const joiner = bookings.add("booking", 0);
        world.setLinks(false, [nodes[0]!], [joiner]);
        world.run(2_000);
        const before = bookings.viewAt(nodes[1]!).members.filter(member => member.id !== joiner.member.id);
        const key = bookings.keyOwnedBy(
            nodes[1]!,
            owner => owner === joiner,
            "moving",
        );
        expect(before).to.have.length(5);
        const reasons: string[] = [];
        for (let i = 0; i < 40; i++) {
            const name = `${key}-${i}`;
            if (bookings.ownerOf(nodes[1]!, name) === joiner) {
                reasons.push(reasonOf(bookings.book(nodes[1]!, name, 10_500)));
            }
        }
        expect(reasons).to.include("answered");
        expect(reasons.filter(reason => reason !== "answered" && reason !== "inherited-key")).to.deep.equal(
            [],
        );
        expect(reasons).to.include("inherited-key");
    });

    it("stops nodes one after the other without refusing a request or running it twice", () => {
        const bookings = new BookingCluster().settle();
        const { world } = bookings;
        const results = new Map<string, CallResult[]>();
        const alive = () => bookings.nodes.filter(node => node.alive && !node.state.draining);
        const send = (key: string) => {
            const callers = alive();
            const caller = callers[Math.floor(world.scheduler.random() * callers.length)]!;
            world.request(caller, "book", result => results.set(key, [...results.get(key) ?? [], result]), {
                key,
            });
        };
        for (let round = 0; round < 5; round++) {
            const leaving = alive()[0]!;
            bookings.add("booking", round);
            world.run(5_000);
            for (let i = 0; i < 200; i++) {
                if (i === 50) leaving.drain();
                send(`${round}-${i}`);
                if (i > 10) send(`${round}-${i - 10}`);
                if (round > 0) send(`${round - 1}-${i}`);
                world.run(10);
            }
            world.run(5_000);
            expect(leaving.alive).to.equal(false);
        }
        const reasons = [...results.values()].flat().map(reasonOf).filter(reason => reason !== "answered");
        expect(reasons).to.deep.equal([]);
        const keys = [...results.keys()];
        expect(keys.filter(key => bookings.startCount(key) !== 1)).to.deep.equal([]);
    });

    it("accepts requests for the keys of a leaving node until its leave is in the log", () => {
        const bookings = new BookingCluster({ deadlineMs: 300 }).settle();
        const [caller, keyOwner] = bookings.nodes;
        const key = bookings.keyOwnedBy(caller!, owner => owner === keyOwner);
        bookings.world.log.slowMs = 800;
        keyOwner!.drain();
        expect(reasonOf(bookings.book(caller!, key, 400))).to.equal("answered");
    });

    it("accepts no new work on a leaving node after 1.5 s during a log outage", () => {
        const bookings = new BookingCluster({ target: { serviceMs: 5_000 } }).settle();
        const [caller, keyOwner] = bookings.nodes;
        const keys = ["a", "b"].map(prefix =>
            bookings.keyOwnedBy(caller!, owner => owner === keyOwner, prefix)
        );
        bookings.world.log.outage = true;
        bookings.book(caller!, keys[0], 10);
        keyOwner!.drain();
        bookings.world.run(1_600);
        bookings.book(caller!, keys[1]);
        expect(keys.map(key => bookings.startCount(key))).to.deep.equal([1, 0]);
    });

    it("retries a refused request once the caller's node has read the owner's leave", () => {
        const bookings = new BookingCluster().settle();
        const [caller, keyOwner] = bookings.nodes;
        const key = bookings.keyOwnedBy(caller!, owner => owner === keyOwner);
        bookings.world.setLinks(false, [caller!], ["log"]);
        keyOwner!.drain();
        bookings.world.run(100);
        let result: CallResult | undefined;
        bookings.world.request(caller!, "book", received => result = received, { key });
        bookings.world.run(10);
        bookings.world.setLinks(true, [caller!], ["log"]);
        bookings.world.run(2_000);
        expect(reasonOf(result)).to.equal("answered");
    });

    it("sends new bookings to a new member before its keys have been handed over", () => {
        const bookings = new BookingCluster().settle();
        const { nodes, world } = bookings;
        const joiner = bookings.add("booking", 0);
        world.setLinks(false, nodes.slice(3), [joiner]);
        world.run(1_000);
        for (let i = 0; i < 60; i++) {
            expect(reasonOf(bookings.book(nodes[0]!, undefined, 30))).to.equal("answered");
        }
        expect(joiner.target.started).not.to.have.length(0);
    });
});
