/**
 * Runs random sequences of requests and faults against the ownership protocol and prints the violations:
 * `node --import tsx bench/soak.ts --seed 1 --steps 100000`. Exits with 1 if there were any. In the last line, `told`
 * holds the number of requests by their result.
 */
import fc from "fast-check";
import { parseArgs } from "node:util";
import { runTrace, traceSteps } from "../test/fakes/ownershipTrace.ts";

const STEPS_PER_TRACE = 150;

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        steps: { type: "string", default: "10000" },
    },
});
const seed = Number(values.seed);
const traces = Math.ceil(Number(values.steps) / STEPS_PER_TRACE);
const resultCounts = new Map<string, number>();
let failed = 0;
for (let index = 0; index < traces; index++) {
    const steps = fc.sample(traceSteps, { seed: seed + index, numRuns: STEPS_PER_TRACE });
    const result = runTrace(seed + index, steps);
    for (const [name, count] of result.resultCounts) {
        resultCounts.set(name, (resultCounts.get(name) ?? 0) + count);
    }
    if (result.violations.length === 0) continue;
    failed++;
    console.log(JSON.stringify({ seed: seed + index, violations: result.violations }));
}
console.log(
    JSON.stringify({
        seed,
        traces,
        steps: traces * STEPS_PER_TRACE,
        failed,
        told: Object.fromEntries(resultCounts),
    }),
);
process.exitCode = failed > 0 ? 1 : 0;
