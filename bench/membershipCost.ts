/**
 * Prints the control traffic between nodes for several numbers of members: the mean and the highest rate of a node, at
 * rest and after the loss of a data centre. The arguments are numbers of members.
 */
import type { ControlTraffic } from "../test/support/clusters.ts";
import { createCluster, measureControlTraffic } from "../test/support/clusters.ts";

const SIZES = [20, 100, 300, 950];
const SETTLE_MS = 10_000;
const MEASURE_MS = 60_000;

function formatMeanAndMax(rates: readonly ControlTraffic[], field: keyof ControlTraffic): string {
    const values = rates.map(rate => rate[field]);
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
    return `${mean.toFixed(1)} (highest ${Math.max(...values).toFixed(1)})`;
}

function printRates(title: string, rates: readonly ControlTraffic[]): void {
    console.log(`${title}: sent ${formatMeanAndMax(rates, "messagesSent")} messages/s`);
    console.log(
        `    sent ${formatMeanAndMax(rates, "bytesSent")} B/s, received ${
            formatMeanAndMax(rates, "bytesReceived")
        } B/s`,
    );
}

const sizes = process.argv.length > 2 ? process.argv.slice(2).map(Number) : SIZES;
for (const size of sizes) {
    const world = createCluster({ size, logDown: true, knowsAllMembers: true });
    world.run(SETTLE_MS);
    printRates(`${size} members, at rest`, measureControlTraffic(world, MEASURE_MS));
    const lostNodes = world.nodes.filter(node => node.member.dataCentre === "d");
    lostNodes.forEach(node => node.killHost());
    // Every fourth node is in the lost data centre and is left out.
    printRates(
        `${size} members, a data centre lost`,
        measureControlTraffic(world, MEASURE_MS).filter((_, i) => i % 4 !== 3),
    );
}
