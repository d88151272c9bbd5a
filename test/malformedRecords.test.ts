/** Records of the log and messages of peers that are useless or repeated: they must not cost without bound. */
import { expect } from "chai";
import { onHandoverRequest } from "../src/handover.ts";
import { createNodeState } from "../src/initialState.ts";
import { onLogRead, withReader } from "../src/logReader.ts";
import type { Member } from "../src/types.ts";

const SELF: Member = {
    id: "n1",
    service: "index",
    address: { host: "10.0.0.1", port: 7000 },
    dataCentre: "a",
};

describe("a batch of malformed log records only", () => {
    it("counts as read, so that the next read continues behind it", () => {
        const started = createNodeState({ self: SELF, joinAddresses: [] });
        const state = withReader(started, { bootstrap: undefined, reading: true });
        const first = state.control.offset + 1;
        const { effects } = onLogRead(state, {
            type: "log_read",
            now: 100,
            rand: 0.5,
            sentAt: 50,
            first: 0,
            next: first + 3,
            atTail: false,
            records: [],
        });
        const read = effects.find(effect => effect.type === "read_log");
        expect(read).to.include({ fromOffset: first + 3 });
    });
});

describe("missing handovers that peers report without the members before", () => {
    const report = (sender: string, version: number, ageMs: number) => ({
        type: "records.handover" as const,
        service: "index",
        viewVersion: 0,
        sender,
        records: [],
        gaps: [{ version, offset: version, before: undefined, lost: ["gone"], ageMs }],
        last: true,
    });

    function reportAll(requests: readonly ReturnType<typeof report>[]) {
        let state = createNodeState({ self: SELF, joinAddresses: [] });
        for (const request of requests) state = onHandoverRequest(state, request, 10_000).state;
        return state.ownership.missingHandovers;
    }

    it("are kept once if many peers report the same one", () => {
        const senders = Array.from({ length: 100 }, (_, index) => `s${index}`);
        expect(reportAll(senders.map(sender => report(sender, 3, 500))).size).to.equal(1);
    });

    it("are kept in bounded number, with the latest time until which a former owner may run a request", () => {
        const requests = Array.from({ length: 300 }, (_, index) => report("s", index + 1, 5000 - index));
        const missing = reportAll(requests);
        expect(missing.size).to.equal(64);
        expect(Math.max(...missing.map(({ readAt }) => readAt))).to.equal(10_000 - 5000 + 299);
    });
});
