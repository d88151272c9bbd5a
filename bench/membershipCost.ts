/** Prints the control traffic between nodes, a second and node, by the number of members. */
import type { ControlTraffic } from "../test/support/clusters.ts";
import { createCluster, measureControlTraffic } from "../test/support/clusters.ts";

const SIZES = [20, 100, 300, 950];
const SETTLE_MS = 10_000;
const MEASURE_MS = 60_000;

function summary(rates: readonly ControlTraffic[], field: keyof ControlTraffic): string {
    const values = rates.map(rate => rate[field]);
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
    return `${mean.toFixed(1)} (highest ${Math.max(...values).toFixed(1)})`;
}

function print(title: string, rates: readonly ControlTraffic[]): void {
    console.log(`${title}: sent ${summary(rates, "messagesSent")} messages/s`);
    console.log(
        `    sent ${summary(rates, "bytesSent")} B/s, received ${summary(rates, "bytesReceived")} B/s`,
    );
}

const sizes = process.argv.length > 2 ? process.argv.slice(2).map(Number) : SIZES;
for (const size of sizes) {
    const world = createCluster({ size, logDown: true, knowsAllMembers: true });
    world.run(SETTLE_MS);
    print(`${size} members, at rest`, measureControlTraffic(world, MEASURE_MS));
    const lost = world.nodes.filter(node => node.member.dataCentre === "d");
    lost.forEach(node => node.killHost());
    print(
        `${size} members, a data centre lost`,
        measureControlTraffic(world, MEASURE_MS).filter((_, i) => i % 4 !== 3),
    );
}
