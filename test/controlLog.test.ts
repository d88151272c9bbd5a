/** Replay of the control log: two operators who race must end with one winner on every node. */
import { expect } from "chai";
import { createControlState, replayRecord } from "../src/controlLog.ts";
import type { ConfigRecord } from "../src/logRecords.ts";
import { NO_BASE } from "../src/logRecords.ts";

function createConfigRecord(id: string, base = NO_BASE): ConfigRecord {
    const configuration = { kinds: [], services: [], resendHorizonMs: 1_000, replacedServices: [] };
    return { type: "config", id, base, author: "test", configuration };
}

describe("control log", () => {
    it("accepts the first of two configurations with the same base", () => {
        const first = replayRecord(createControlState(), 0, createConfigRecord("a"));
        const second = replayRecord(first.state, 1, createConfigRecord("b"));
        expect([first.verdict, second.verdict]).to.deep.equal(["accepted", "superseded"]);
        expect(second.state.config?.id).to.equal("a");
    });

    it("gives a record that was appended twice after a lost answer no second effect", () => {
        const first = replayRecord(createControlState(), 0, createConfigRecord("a"));
        const again = replayRecord(first.state, 1, createConfigRecord("a"));
        expect(again.verdict).to.equal("duplicate");
        expect(again.state.config?.number).to.equal(1);
    });
});
