/**
 * Property test with random traces of requests and faults. A key or request must run at most once at its service, and
 * a request that was reported as "not run" must not have run.
 */
import { expect } from "chai";
import fc from "fast-check";
import { runTrace, traceSteps } from "./fakes/ownershipTrace.ts";

describe("guarantees", () => {
    it("hold on random traces of requests and faults", () => {
        const steps = fc.array(traceSteps, { minLength: 150, maxLength: 150, size: "max" });
        fc.assert(
            fc.property(fc.nat(1_000_000), steps, (seed, trace) => {
                expect(runTrace(seed, trace).violations).to.deep.equal([]);
            }),
            { seed: 20_26, numRuns: 50, endOnFailure: true },
        );
    });
});
