/** Failure detection over fakes: dead nodes must be found, live ones never lost for good, whatever the network does. */
import { expect } from "chai";
import { isRoutable, statusOfMember } from "../src/membership.ts";
import type { FakeNode } from "./fakes/fakeNode.ts";
import type { World } from "./fakes/world.ts";
import { createCluster, measureControlTraffic, restartNode } from "./support/clusters.ts";

const SIZE = 20;
/** Twice the probe periods in which a member is missed by all with a chance below 1 in 1,000, and the suspicion. */
const DETECTION_MS = 20_000;

const createKnownCluster = (size = SIZE): World =>
    createCluster({ size, logDown: true, knowsAllMembers: true });

function aliveNodes(world: World): readonly FakeNode[] {
    return world.nodes.filter(node => node.alive);
}

/** Pairs of live nodes of which the first does not hold the second alive. */
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

/** Runs a world and counts the deaths that nodes declared. */
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
    it("declares a crashed node dead everywhere and sends it no work", () => {
        const world = createKnownCluster();
        world.run(3_000);
        const [lost, other] = [world.nodes[3]!, world.nodes[4]!];
        lost.killHost();
        world.run(DETECTION_MS);
        expect(isDeadEverywhere(world, lost)).to.equal(true);
        expect(isRoutable(other.state, lost.member)).to.equal(false);
    });

    it("does not lose a node that was paused for less than a suspicion", () => {
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

    it("does not suspect others for answers that a paused node could not read", () => {
        const world = createKnownCluster();
        world.run(3_000);
        world.nodes[3]!.pause();
        world.run(60_000);
        world.nodes[3]!.resume();
        expect(countNotAlive([world.nodes[3]!], world.nodes)).to.equal(0);
        world.run(60_000);
        expect(countNotAlive(world.nodes, world.nodes)).to.equal(0);
    });

    it("declares no node dead over a network that loses a tenth of all datagrams", () => {
        const world = createKnownCluster();
        world.dropsDatagram = () => world.scheduler.random() < 0.1;
        expect(countDeaths(world, 300_000)).to.equal(0);
    });

    it("declares no node dead for one bad link in one direction", () => {
        const world = createKnownCluster();
        const [a, b] = [world.nodes[0]!, world.nodes[1]!];
        world.dropsDatagram = (from, to) => from === a && to === b;
        expect(countDeaths(world, 300_000)).to.equal(0);
    });

    it("declares a node dead that can send but hears nothing", () => {
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

    it("finds a data centre lost and takes it back", () => {
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

    it("heals two halves that were apart for an hour without losing a node within a half", () => {
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

    it("acquaints nodes that start with the log down through one join address", () => {
        const world = createCluster({ size: SIZE, logDown: true });
        world.run(90_000);
        expect(countNotAlive(world.nodes, world.nodes)).to.equal(0);
    });

    it("learns the members of views from the control log without a join address", () => {
        const world = createCluster({ size: SIZE, spec: { joinAddresses: [] } });
        world.run(60_000);
        expect(countNotAlive(world.nodes, world.nodes)).to.equal(0);
    });

    it("forgets members that are long dead, so that replacements do not pile up", () => {
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
    /** A probe and its answer, and 3 more probes with their relays in a period that misses an answer. */
    const LIMIT_MESSAGES_PER_S = 4;

    for (const size of [20, 100, 300, 950]) {
        it(`keeps control traffic of ${size} members within its bounds, with a restart a minute`, () => {
            const world = createKnownCluster(size);
            world.run(5_000);
            const members = world.nodes[0]!.state.members;
            // A node that starts with the log up knows the members from the views.
            restartNode(world, world.nodes[size - 1]!, { prepare: state => ({ ...state, members }) });
            for (const rate of measureControlTraffic(world, 30_000)) {
                expect(Math.max(rate.bytesSent, rate.bytesReceived)).to.be.below(LIMIT_BYTES_PER_S);
                expect(Math.max(rate.messagesSent, rate.messagesReceived)).to.be.below(LIMIT_MESSAGES_PER_S);
            }
        });
    }
});
