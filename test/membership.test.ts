/** Failure detection in simulation: nodes detect dead members, and never lose a live one for good. */
import { expect } from "chai";
import { isRoutable, statusOfMember } from "../src/membership.ts";
import type { FakeNode } from "./fakes/fakeNode.ts";
import type { World } from "./fakes/world.ts";
import { createCluster, measureControlTraffic, restartNode } from "./support/clusters.ts";

const SIZE = 20;
/** Twice the sum of 7 s, in which a member is probed with a probability above 99.9 %, and of a suspicion of 3 s. */
const DETECTION_MS = 20_000;

const createKnownCluster = (size = SIZE): World =>
    createCluster({ size, logDown: true, knowsAllMembers: true });

function aliveNodes(world: World): readonly FakeNode[] {
    return world.nodes.filter(node => node.alive);
}

/** Number of pairs of an observer and a subject in which the observer does not consider the subject alive. */
function countNotAlive(observers: readonly FakeNode[], subjects: readonly FakeNode[]): number {
    return observers.flatMap(node =>
        subjects.filter(({ member }) => {
            const entry = node.state.members.entries.get(member.id);
            return member.id !== node.member.id && entry?.status !== "alive";
        })
    ).length;
}

function isDeadEverywhere(world: World, subject: FakeNode): boolean {
    return aliveNodes(world).every(({ state }) =>
        (state.members.entries.get(subject.member.id)?.status ?? "dead") === "dead"
    );
}

/** Runs a world and counts how often nodes declared a member dead. */
function countDeaths(world: World, durationMs: number): number {
    let deaths = 0;
    for (const node of world.nodes) {
        node.onEffect = effect => {
            if (effect.type === "log" && effect.event === "member" && effect.fields["status"] === "dead") {
                deaths++;
            }
        };
    }
    world.run(durationMs);
    return deaths;
}

describe("membership", () => {
    it("declares a crashed node dead on all nodes and sends it no work", () => {
        const world = createKnownCluster();
        world.run(3_000);
        const [lost, other] = [world.nodes[3]!, world.nodes[4]!];
        lost.killHost();
        world.run(DETECTION_MS);
        expect(isDeadEverywhere(world, lost)).to.equal(true);
        expect(isRoutable(other.state, lost.member)).to.equal(false);
    });

    it("does not declare a node dead that was paused for less than the suspicion time", () => {
        const world = createKnownCluster();
        world.run(3_000);
        const paused = world.nodes[3]!;
        const siblings = world.nodes.slice(0, 10).filter(node => node !== paused);
        let routableWhileSuspected = 0;
        let suspicions = 0;
        paused.pause();
        for (let i = 0; i < 28; i++) {
            world.run(100);
            const suspecting = siblings.filter(({ state }) =>
                statusOfMember(state, paused.member.id) === "suspect"
            );
            suspicions += suspecting.length;
            routableWhileSuspected += suspecting.filter(({ state }) =>
                isRoutable(state, paused.member)
            ).length;
        }
        paused.resume();
        expect(countDeaths(world, 10_000)).to.equal(0);
        expect(suspicions).to.be.greaterThan(0);
        expect(routableWhileSuspected).to.equal(0);
        expect(countNotAlive(world.nodes, world.nodes)).to.equal(0);
        expect(paused.state.members.refutation).to.be.greaterThan(0);
    });

    it("does not suspect members because of acks that arrived while the node itself was paused", () => {
        const world = createKnownCluster();
        world.run(3_000);
        world.nodes[3]!.pause();
        world.run(60_000);
        world.nodes[3]!.resume();
        expect(countNotAlive([world.nodes[3]!], world.nodes)).to.equal(0);
        world.run(60_000);
        expect(countNotAlive(world.nodes, world.nodes)).to.equal(0);
    });

    it("declares no node dead when the network loses 10% of all datagrams", () => {
        const world = createKnownCluster();
        world.dropsDatagram = () => world.scheduler.random() < 0.1;
        expect(countDeaths(world, 300_000)).to.equal(0);
    });

    it("declares no node dead when a single link is cut in one direction", () => {
        const world = createKnownCluster();
        const [a, b] = [world.nodes[0]!, world.nodes[1]!];
        world.dropsDatagram = (from, to) => from === a && to === b;
        expect(countDeaths(world, 300_000)).to.equal(0);
    });

    it("declares a node dead that can send but not receive", () => {
        const world = createKnownCluster();
        world.dropsDatagram = (_, to) => to === world.nodes[5]!;
        world.run(2 * DETECTION_MS);
        expect(countNotAlive(world.nodes.slice(0, 5), [world.nodes[5]!])).to.equal(5);
    });

    it("lets a new incarnation at an address supersede the old one", () => {
        const world = createKnownCluster();
        world.run(3_000);
        const old = world.nodes[3]!;
        const fresh = restartNode(world, old);
        world.run(35_000);
        expect(isDeadEverywhere(world, old)).to.equal(true);
        expect(countNotAlive(aliveNodes(world), [fresh])).to.equal(0);
        expect(fresh.state.members.entries.size).to.be.greaterThanOrEqual(SIZE - 1);
    });

    it("declares the members of an isolated data centre dead, and alive when it is back", () => {
        const world = createKnownCluster(40);
        const isolated = world.nodes.filter(node => node.member.dataCentre === "a");
        const others = world.nodes.filter(node => node.member.dataCentre !== "a");
        world.setLinks(false, isolated, others);
        world.run(3 * DETECTION_MS);
        expect(countNotAlive(others, isolated)).to.equal(others.length * isolated.length);
        expect(countNotAlive(others, others)).to.equal(0);
        world.setLinks(true, isolated, others);
        world.run(180_000);
        expect(countNotAlive(world.nodes, world.nodes)).to.equal(0);
    });

    it("rejoins the halves of a one-hour partition without losing a node within a half", () => {
        const world = createKnownCluster();
        const [a, b] = [world.nodes.slice(0, 10), world.nodes.slice(10)];
        world.setLinks(false, a, b);
        world.run(3_600_000);
        expect(countNotAlive(a, a) + countNotAlive(b, b)).to.equal(0);
        expect(countNotAlive(a, b)).to.equal(100);
        world.setLinks(true, a, b);
        for (let i = 0; i < 18; i++) {
            world.run(10_000);
            expect(countNotAlive(a, a) + countNotAlive(b, b), `within a half after ${i} rounds`).to.equal(0);
        }
        expect(countNotAlive(world.nodes, world.nodes)).to.equal(0);
    });

    it("finds all members through one join address when nodes start during a log outage", () => {
        const world = createCluster({ size: SIZE, logDown: true });
        world.run(90_000);
        expect(countNotAlive(world.nodes, world.nodes)).to.equal(0);
    });

    it("finds the members of views in the control log without a join address", () => {
        const world = createCluster({ size: SIZE, spec: { joinAddresses: [] } });
        world.run(60_000);
        expect(countNotAlive(world.nodes, world.nodes)).to.equal(0);
    });

    it("removes members after the retention time, so that replaced ones do not accumulate", () => {
        const world = createKnownCluster(5);
        for (let i = 0; i < 10; i++) {
            restartNode(world, aliveNodes(world)[4]!);
            world.run(60_000);
        }
        const { members } = world.nodes[0]!.state;
        expect(members.entries.size).to.be.greaterThan(10);
        world.run(3 * 3_600_000);
        expect(world.nodes[0]!.state.members.entries.size).to.equal(4);
    });
});

describe("membership cost", () => {
    const LIMIT_BYTES_PER_S = 3_000;
    /** A node sends a probe and an ack per second. After a missing ack, it asks 3 others to relay a probe. */
    const LIMIT_MESSAGES_PER_S = 4;

    for (const size of [20, 100, 300, 950]) {
        it(`keeps control traffic of ${size} members within its bounds while a node restarts`, () => {
            const world = createKnownCluster(size);
            world.run(5_000);
            const members = world.nodes[0]!.state.members;
            // A node that can read the log at its start knows the members from the views.
            restartNode(world, world.nodes[size - 1]!, { prepare: state => ({ ...state, members }) });
            for (const rate of measureControlTraffic(world, 30_000)) {
                expect(Math.max(rate.bytesSent, rate.bytesReceived)).to.be.below(LIMIT_BYTES_PER_S);
                expect(Math.max(rate.messagesSent, rate.messagesReceived)).to.be.below(LIMIT_MESSAGES_PER_S);
            }
        });
    }
});
