/** Replay of the control log: readers of the same records must reach the same state, wherever they start. */
import { expect } from "chai";
import {
    bootstrap,
    createBootstrap,
    createBridge,
    createCheckpoint,
    extendBootstrap,
} from "../src/checkpoints.ts";
import type { ControlState } from "../src/controlLog.ts";
import { createControlState, mergePeerReplica, replayRecord } from "../src/controlLog.ts";
import type { LogRecord, ViewRecord } from "../src/logRecords.ts";
import type { Member } from "../src/types.ts";
import { createConfigRecord } from "./support/versions.ts";

function createMember(id: string): Member {
    return { id, service: "index", address: { host: "10.0.0.1", port: 7_000 }, dataCentre: "a" };
}

function createJoin(id: string, baseVersion: number, backers: readonly string[] = []): ViewRecord {
    const members = [createMember(id)];
    return {
        type: "view",
        id: `join ${id}`,
        service: "index",
        baseVersion,
        change: "join",
        members,
        voters: members,
        backers,
    };
}

/** Replays records, by default from offset 0. Returns the final state and the verdict on each record. */
function replayAll(records: readonly LogRecord[], start: ControlState = createControlState()) {
    let state = start;
    const verdicts = records.map(record => {
        const replayed = replayRecord(state, state.offset + 1, record);
        state = replayed.state;
        return replayed.verdict;
    });
    return { state, verdicts };
}

describe("control log", () => {
    it("accepts the first of two configurations with the same base", () => {
        const { state, verdicts } = replayAll([createConfigRecord("a"), createConfigRecord("b")]);
        expect(verdicts).to.deep.equal(["accepted", "superseded"]);
        expect(state.config?.id).to.equal("a");
    });

    it("applies a record once that was appended twice after a lost response", () => {
        const { state, verdicts } = replayAll([createConfigRecord("a"), createConfigRecord("a")]);
        expect(verdicts).to.deep.equal(["accepted", "duplicate"]);
        expect(state.config?.number).to.equal(1);
    });

    it("reports a copy of an earlier version's record as a duplicate", () => {
        const b = createConfigRecord("b", "a");
        const { state, verdicts } = replayAll([createConfigRecord("a"), b, createConfigRecord("c", "b"), b]);
        expect(verdicts).to.deep.equal(["accepted", "accepted", "accepted", "duplicate"]);
        expect(state.config).to.include({ id: "c", number: 3 });
    });

    it("ignores a view change without a majority or with an old base version", () => {
        const { state, verdicts } = replayAll([
            createJoin("x", 0),
            createJoin("y", 1),
            createJoin("z", 0),
            createJoin("y", 1, ["x"]),
        ]);
        expect(verdicts).to.deep.equal(["accepted", "unbacked", "superseded", "accepted"]);
        expect(state.views.get("index")).to.include({ version: 2, offset: 3 });
    });

    it("empties a view that the operator declares replaced, but only at the given version", () => {
        const replaced = (viewVersion: number) => [{ service: "index", viewVersion }];
        const { state, verdicts } = replayAll([
            createJoin("x", 0),
            createConfigRecord("a", undefined, replaced(2)),
            createConfigRecord("b", "a", replaced(1)),
            createJoin("y", 2),
        ]);
        expect(verdicts).to.deep.equal(["accepted", "accepted", "accepted", "accepted"]);
        expect(state.views.get("index")?.members.map(member => member.id)).to.deep.equal(["y"]);
    });

    it("starts from a checkpoint and replays the records between its state and the checkpoint", () => {
        const early = [createConfigRecord("a"), createJoin("x", 0)];
        const late = [createConfigRecord("b", "a"), createJoin("y", 1, ["x"])];
        const checkpoint = createCheckpoint(replayAll(early).state, "checkpoint");
        const records = [...early, ...late, checkpoint, createConfigRecord("c", "b")];
        const expected = replayAll(records).state;
        const retained = records.map((record, offset) => ({ record, offset })).slice(2);
        const reader = extendBootstrap(createBootstrap(2), { next: 6, records: retained });
        expect(reader.replay?.config).to.deep.equal(expected.config);
        expect(reader.replay?.views.toJS()).to.deep.equal(expected.views.toJS());
        expect(reader.replay?.offset).to.equal(5);
    });

    it("does not start from a checkpoint if the next record after its state has expired", async () => {
        const checkpoint = createCheckpoint(replayAll([createConfigRecord("a")]).state, "checkpoint");
        const batch = { next: 4, tail: 4, records: [{ offset: 3, record: checkpoint }] };
        const state = await bootstrap(async from =>
            from < 2 ? { type: "gone", first: 2 } : { type: "batch", batch }
        );
        expect(state).to.equal(undefined);
    });

    it("ignores a bridge with a lower configuration version than its own", () => {
        const low = replayAll([createConfigRecord("a")]).state;
        const high = replayAll([createConfigRecord("a"), createConfigRecord("b", "a")]).state;
        const gap = createBootstrap(2);
        const refused = replayRecord(high, 2, createBridge(low, "low", gap));
        expect([refused.verdict, refused.state.config?.id]).to.deep.equal(["superseded", "b"]);
        const accepted = replayRecord(low, 2, createBridge(high, "high", gap));
        expect([accepted.verdict, accepted.state.config?.id]).to.deep.equal(["accepted", "b"]);
    });

    it("gives all readers of a bridge the same views, whichever changes they have missed", () => {
        const behind = replayAll([createJoin("x", 0)]).state;
        const ahead = replayAll([createJoin("x", 0), createJoin("y", 1, ["x"])]).state;
        const bridge = createBridge(behind, "bridge", createBootstrap(2));
        const [first, second] = [behind, ahead].map(state =>
            replayRecord(state, 2, bridge).state.views.toJS()
        );
        expect(first).to.deep.equal(second);
    });

    it("makes a peer's state effective without skipping records of the log", () => {
        const records = [createConfigRecord("a"), createConfigRecord("b", "a"), createJoin("x", 0)];
        const peer = replayAll([...records.slice(0, 2)]).state;
        const merged = mergePeerReplica(replayAll(records.slice(0, 1)).state, peer);
        expect([merged.config?.number, merged.offset]).to.deep.equal([2, 0]);
        const { state, verdicts } = replayAll(records.slice(1), merged);
        expect(verdicts).to.deep.equal(["accepted", "accepted"]);
        expect(state.config).to.deep.equal(replayAll(records).state.config);
        expect(state.replayed).to.equal(undefined);
    });

    it("ignores the state of a peer that lags behind", () => {
        const state = replayAll([createConfigRecord("a"), createConfigRecord("b", "a")]).state;
        const lagging = replayAll([createConfigRecord("a")]).state;
        expect(mergePeerReplica(state, lagging)).to.equal(state);
    });
});
