/** Plays all documents in scenarios/; guards against regressions of the aims for decisions under overload. */
import { readdirSync } from "node:fs";
import { playScenario } from "./support/scenario.ts";

describe("scenarios", () => {
    for (const name of readdirSync("scenarios").filter(file => file.endsWith(".yaml")).sort()) {
        it(name.slice(0, -".yaml".length), () => playScenario(`scenarios/${name}`));
    }
});
