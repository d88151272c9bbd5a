/** Each counter and reason needs an entry in the operators' page, or an operator who sees it finds no advice. */
import { expect } from "chai";
import { readFileSync } from "node:fs";
import { Metrics } from "../src/metrics.ts";
import { refusalReasons, unknownReasons } from "../src/types.ts";

describe("operators' page", () => {
    it("has an entry for each counter, refusal reason and reason of an unknown outcome", async () => {
        const page = readFileSync("docs/operators.md", "utf8");
        const counters = Object.keys(await new Metrics().allValues());
        const missing = [...counters, ...refusalReasons, ...unknownReasons].filter(name =>
            !page.includes(`| \`${name}\` |`)
        );
        expect(missing).to.deep.equal([]);
    });
});
