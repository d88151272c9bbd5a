/** The event log keeps to its rate, tells what it left out, and never waits for its reader. */
import { expect } from "chai";
import { EventLog } from "../../src/mesh/eventLog.ts";

describe("event log", () => {
    it("bounds the lines of one kind, and counts what it leaves out", async () => {
        const lines: string[] = [];
        const log = new EventLog({ ratePerKind: 10, write: line => lines.push(line), base: { node: "n" } });
        for (let index = 0; index < 100; index++) log.event("refused", { id: `q${index}` });
        log.unlimitedEvent("config", { version: 2 });
        expect(lines.length).to.equal(11);
        await new Promise(resolve => setTimeout(resolve, 300));
        log.event("refused", { id: "later" });
        expect(JSON.parse(lines.at(-1)!)).to.include({
            event: "refused",
            id: "later",
            node: "n",
            leftOut: 90,
        });
    });
});
