/** A configuration must be in force on the last node within the stated 13 s, measured in virtual time. */
import { expect } from "chai";
import type { World } from "./fakes/world.ts";
import { createCluster } from "./support/clusters.ts";
import { applyConfig, configNumberOf, createConfigRecord } from "./support/versions.ts";

const BOUND_MS = 13_000;
const STEP_MS = 100;

/** Virtual time in ms until all nodes have version 2, or more than `BOUND_MS` if they do not get it. */
function timeUntilInForce(world: World): number {
    const start = world.now;
    while (world.nodes.some(node => configNumberOf(node) < 2) && world.now - start < 2 * BOUND_MS) {
        world.run(STEP_MS);
    }
    return world.now - start;
}

async function createWorld(size: number): Promise<World> {
    const world = createCluster({ size, knowsAllMembers: true });
    await applyConfig(world, "v1");
    world.run(5_000);
    return world;
}

describe("configuration in force", () => {
    for (const size of [20, 100, 300, 950]) {
        it(`reaches ${size} nodes through the log`, async () => {
            const world = await createWorld(size);
            world.appendToLog(createConfigRecord("v2", "v1"));
            expect(timeUntilInForce(world)).to.be.below(BOUND_MS);
        });

        it(`reaches ${size} nodes by gossip when only one node can reach the log`, async () => {
            const world = await createWorld(size);
            world.setLinks(false, world.nodes.slice(1), ["log"]);
            world.run(8_000);
            world.appendToLog(createConfigRecord("v2", "v1"));
            expect(timeUntilInForce(world)).to.be.below(BOUND_MS);
        });
    }
});
