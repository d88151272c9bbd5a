/** Runs all scenarios in `scenarios/`, which check goodput, recovery and retries under overload and faults. */
import { readdirSync } from "node:fs";
import { playScenario } from "./support/scenario.ts";

describe("scenarios", () => {
    for (const name of readdirSync("scenarios").filter(file => file.endsWith(".yaml")).sort()) {
        it(name.slice(0, -".yaml".length), () => playScenario(`scenarios/${name}`));
    }
});
