/**
 * Prints the virtual time until a configuration is in force on the last node, when all nodes read the log and when all
 * but one learn it by gossip. The arguments are numbers of nodes.
 */
import { createCluster } from "../test/support/clusters.ts";
import { applyConfig, configNumberOf, createConfigRecord } from "../test/support/versions.ts";

const STEP_MS = 50;
const LIMIT_MS = 60_000;
const sizes = process.argv.length > 2 ? process.argv.slice(2).map(Number) : [20, 100, 300, 950];
for (const size of sizes) {
    for (const path of ["log", "gossip"] as const) {
        const world = createCluster({ size, knowsAllMembers: true });
        await applyConfig(world, "v1");
        world.run(5_000);
        if (path === "gossip") {
            world.setLinks(false, world.nodes.slice(1), ["log"]);
            world.run(8_000);
        }
        world.appendToLog(createConfigRecord("v2", "v1"));
        const start = world.now;
        while (world.nodes.some(node => configNumberOf(node) < 2) && world.now - start < LIMIT_MS) {
            world.run(STEP_MS);
        }
        console.log(`${size} nodes by ${path}: last node after ${world.now - start} ms`);
    }
}
