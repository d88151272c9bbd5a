/**
 * Tests graceful shutdown under load. No request may be refused or lost, and a draining node must get no new requests
 * after 2 s.
 */
import { expect } from "chai";
import { isRoutable } from "../src/membership.ts";
import type { FakeNode } from "./fakes/fakeNode.ts";
import type { CallResult } from "./fakes/world.ts";
import { createConfiguration, createKind, World } from "./fakes/world.ts";
import { restartNode } from "./support/clusters.ts";

/** Time within which all senders must know that a node is draining. */
const NOTICE_DEADLINE_MS = 2_000;
/** Time within which a draining node must exit. */
const MAX_SHUTDOWN_MS = 20_000;

/** Creates a world with two nodes of `entry`, which call five nodes of `index`. */
function createWorld(joinAddresses: { readonly host: string; readonly port: number; }[] = []): World {
    const world = new World({ seed: 5 });
    const services = ["entry", "index"].map(name => ({
        name,
        defaultKind: "browse",
        calls: [],
        connections: 100,
    }));
    world.appendToLog({
        type: "config",
        id: "v1",
        base: "none",
        author: "test",
        configuration: createConfiguration({
            kinds: [createKind("browse", { retries: 0, deadlineMs: 10_000 })],
            services,
        }),
    });
    for (let i = 0; i < 2; i++) {
        world.addNode({
            service: "entry",
            dataCentre: "a",
            target: { slots: 100, serviceMs: 5, calls: ["index"] },
            joinAddresses,
        });
    }
    for (let i = 0; i < 5; i++) {
        world.addNode({
            service: "index",
            dataCentre: "a",
            target: { slots: 10, serviceMs: 20 },
            joinAddresses,
        });
    }
    world.run(15_000);
    return world;
}

/** Sends a request every 10 ms to the nodes of `entry`, and collects the results. Returns the number of requests. */
function runUnderLoad(world: World, durationMs: number, results: CallResult[]): number {
    let sent = 0;
    const entries = world.nodes.filter(node => node.member.service === "entry");
    for (let ms = 0; ms < durationMs; ms += 10) {
        world.request(entries[sent % 2]!, "browse", result => results.push(result));
        sent++;
        world.run(10);
    }
    return sent;
}

function instances(world: World): readonly FakeNode[] {
    return world.nodes.filter(node => node.alive && node.member.service === "index");
}

describe("graceful shutdown", () => {
    it("loses and refuses no request while all nodes stop in turn under load", () => {
        const world = createWorld();
        const results: CallResult[] = [];
        let sent = 0;
        for (const node of instances(world)) {
            node.drain();
            sent += runUnderLoad(world, MAX_SHUTDOWN_MS, results);
            expect(node.alive, "exits after its leave").to.equal(false);
            restartNode(world, node);
            sent += runUnderLoad(world, 5_000, results);
        }
        world.run(2_000);
        expect(results).to.have.length(sent);
        expect(results.filter(result => result.type !== "answered")).to.deep.equal([]);
    });

    it("sends no new requests to a draining node after 2 s, even if datagrams are lost", () => {
        const world = createWorld();
        world.dropsDatagram = () => world.scheduler.random() < 0.2;
        const leaving = instances(world)[0]!;
        runUnderLoad(world, 5_000, []);
        // Slow runs keep the node from exiting while others might still send requests to it.
        leaving.target.slowdown = 1_000;
        runUnderLoad(world, 200, []);
        leaving.drain();
        runUnderLoad(world, NOTICE_DEADLINE_MS, []);
        const routable = world.nodes.filter(node =>
            node !== leaving && node.alive && isRoutable(node.state, leaving.member)
        );
        expect(routable).to.deep.equal([]);
        const started = leaving.target.started.length;
        const refused = leaving.counts.get("refusals.draining") ?? 0;
        runUnderLoad(world, 800, []);
        expect(leaving.alive).to.equal(true);
        expect(leaving.target.started.length).to.equal(started);
        expect(leaving.counts.get("refusals.draining") ?? 0).to.equal(refused);
    });

    it("removes the node from its view, so that its keys get new owners without an exclusion", () => {
        const world = createWorld();
        const [leaving, other] = instances(world);
        leaving!.drain();
        world.run(5_000);
        const ids = other!.state.control.views.get("index")!.members.map(member => member.id);
        expect(ids).to.have.length(4).and.not.include(leaving!.member.id);
    });

    it("exits without leaving the view after a timeout if the log is unavailable", () => {
        const world = createWorld();
        const [leaving] = instances(world);
        world.log.outage = true;
        leaving!.drain();
        world.run(5_000);
        expect(leaving!.alive).to.equal(true);
        world.run(10_000);
        expect(leaving!.alive).to.equal(false);
    });

    it("requests the exit only once if both a signal and the target request the shutdown", () => {
        const world = createWorld();
        const [leaving] = instances(world);
        let exits = 0;
        leaving!.onEffect = effect => {
            if (effect.type === "exit") exits++;
        };
        leaving!.drain();
        leaving!.dispatch({ type: "drain_requested", source: "target" });
        world.run(MAX_SHUTDOWN_MS);
        expect(exits).to.equal(1);
    });
});
