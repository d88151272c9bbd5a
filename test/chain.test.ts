/** Tests a chain of fake services. Each service must run a request once, and the caller must get one response. */
import { expect } from "chai";
import type { CallResult } from "./fakes/world.ts";
import { createConfiguration, createKind, World } from "./fakes/world.ts";

const SERVICES = ["calendar", "booking", "gallery"] as const;

function createChain(): World {
    const world = new World({ seed: 1 });
    SERVICES.forEach((service, index) => {
        const calls = SERVICES.slice(index + 1, index + 2);
        for (const dataCentre of ["a", "b"]) {
            world.addNode({ service, dataCentre, target: { slots: 10, serviceMs: 5, calls } });
        }
    });
    const services = SERVICES.map(name => ({ name, defaultKind: "book", calls: [], connections: 10 }));
    const kinds = [createKind("book", { nonIdempotent: true, priority: 0 })];
    world.appendToLog({
        type: "config",
        id: "v1",
        base: "none",
        author: "test",
        configuration: createConfiguration({ kinds, services }),
    });
    return world;
}

describe("chain", () => {
    it("runs each of many bookings once per service", () => {
        const world = createChain();
        world.run(10_000);
        const results: CallResult[] = [];
        for (let i = 0; i < 100; i++) {
            world.request(world.nodes[i % 2]!, "book", result => results.push(result));
            world.run(20);
        }
        world.run(5_000);
        expect(results.filter(result => result.type === "answered")).to.have.length(100);
        const started = world.nodes.flatMap(node =>
            node.target.started.map(task => `${node.member.service} ${task.requestId}`)
        );
        expect(started).to.have.length(300);
        expect(new Set(started).size).to.equal(300);
    });
});
