/** The event log limits the rate of its lines and reports how many it suppressed. */
import { expect } from "chai";
import { EventLog } from "../../src/mesh/eventLog.ts";

describe("event log", () => {
    it("limits the rate of each kind of line and reports the number of suppressed lines", async () => {
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
