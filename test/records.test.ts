/**
 * Tests the records of idempotency keys, and their limits. A retry with a recorded key must get the recorded response
 * and must not run again.
 */
import { expect } from "chai";
import { createNodeState } from "../src/initialState.ts";
import { beginKey, finishKey, isKeyLimitReached, mergeHandedRecords } from "../src/records.ts";
import type { Run } from "../src/runs.ts";
import type { NodeState } from "../src/state.ts";
import type { NotRun, RecordedResponse, Unknown } from "../src/types.ts";
import { BookingCluster } from "./fakes/bookingCluster.ts";
import type { CallResult } from "./fakes/world.ts";
import { createKind } from "./fakes/world.ts";

function createState(): NodeState {
    const address = { host: "10.0.0.1", port: 7_000 };
    return createNodeState({ self: { id: "a", service: "booking", address, dataCentre: "a" } });
}

function createRun(id: number, key: string): Run {
    return {
        id,
        ctx: { requestId: "0", kind: "book", key, deadlineMs: 1_000, retries: 0, depth: 1, sender: "b" },
        kind: createKind("book", { nonIdempotent: true }),
        level: 0,
        fingerprint: key,
        startedAt: 0,
        deadlineAt: 1_000,
        phase: "forwarded",
        callsInFlight: 0,
        hasCalled: false,
        callFailed: false,
        retries: 0,
    };
}

function finish(state: NodeState, run: Run, now: number, response?: RecordedResponse): NodeState {
    const begun = beginKey(state, run.ctx.key!, run, now);
    const outcome = { type: "ran", status: 200 } as const;
    return finishKey(begun, run.ctx.key!, run, {
        type: "run_ended",
        run: run.id,
        outcome,
        response,
        now,
        rand: 0,
    });
}

function send(bookings: BookingCluster, key: string): CallResult[] {
    const results: CallResult[] = [];
    bookings.world.request(bookings.nodes[0]!, "book", result => results.push(result), { key });
    return results;
}

describe("records", () => {
    it("let a retry join the run in progress, so that both requests get the response", () => {
        const bookings = new BookingCluster().settle();
        bookings.nodes.forEach(node => node.target.slowdown = 20);
        const first = send(bookings, "k");
        bookings.world.run(5);
        const second = send(bookings, "k");
        bookings.world.run(5);
        expect(second).to.deep.equal([]);
        bookings.world.run(2_000);
        expect([first, second].map(results => results[0]?.type)).to.deep.equal(["answered", "answered"]);
        expect(bookings.startCount("k")).to.equal(1);
    });

    it("do not report \"not run\" to a retry that waits for a run in progress", () => {
        const bookings = new BookingCluster({ deadlineMs: 1_000 }).settle();
        const ownerNode = bookings.ownerOf(bookings.nodes[0]!, "k");
        ownerNode.target.slowdown = 10_000;
        send(bookings, "k");
        bookings.world.run(500);
        const ctx = createRun(1, "entry:k").ctx;
        const event = {
            type: "run_started",
            run: 1_000_000,
            fingerprint: "booking entry:k",
            rand: 0,
        } as const;
        const now = bookings.world.now;
        const afterStart = bookings.world.reduce(ownerNode.state, {
            ...event,
            ctx: { ...ctx, deadlineMs: 100 },
            now,
        });
        expect(afterStart.effects.some(effect => effect.type === "refuse_run")).to.equal(false);
        const afterWake = bookings.world.reduce(afterStart.state, { type: "wake", now: now + 101, rand: 0 });
        const refusals = afterWake.effects.filter(effect => effect.type === "refuse_run")
            .map(effect => effect.outcome.reason);
        expect(refusals).to.deep.equal(["in-progress"]);
    });

    it("replay the response to a retry while the node refuses other requests", () => {
        const bookings = new BookingCluster().settle();
        const ownerNode = bookings.ownerOf(bookings.nodes[0]!, "k");
        bookings.book(bookings.nodes[0]!, "k");
        const { admission } = ownerNode.state;
        // A later start of the window keeps the cutoff unchanged.
        const cutoffState = {
            ...admission.cutoffState,
            cutoff: -1,
            windowStartedAt: bookings.world.now + 60_000,
        };
        ownerNode.state = { ...ownerNode.state, admission: { ...admission, cutoff: -1, cutoffState } };
        expect(bookings.book(bookings.nodes[0]!, "k")).to.deep.equal({ type: "answered", status: 200 });
        const fresh = bookings.keyOwnedBy(bookings.nodes[0]!, owner => owner === ownerNode, "fresh");
        expect(bookings.book(bookings.nodes[0]!, fresh)).to.include({ type: "not-run", reason: "level" });
    });

    it("do not replay a response to a different request with the same key", () => {
        const bookings = new BookingCluster().settle();
        const ownerNode = bookings.ownerOf(bookings.nodes[0]!, "k");
        bookings.book(bookings.nodes[0]!, "k");
        const { ctx } = createRun(1, "entry:k");
        const { effects } = bookings.world.reduce(ownerNode.state, {
            type: "run_started",
            run: 1_000_000,
            ctx,
            fingerprint: "other",
            now: bookings.world.now,
            rand: 0,
        });
        const refused = effects.find(effect => effect.type === "refuse_run");
        expect(refused?.outcome.reason).to.equal("key-conflict");
    });

    it("allow another run of a key only after the resend horizon", () => {
        const bookings = new BookingCluster({ horizonMs: 60_000 }).settle();
        const [caller] = bookings.nodes;
        bookings.book(caller!, "k", 55_000);
        bookings.book(caller!, "k", 10_000);
        expect(bookings.startCount("k")).to.equal(1);
        bookings.book(caller!, "k", 2_000);
        expect(bookings.startCount("k")).to.equal(2);
    });

    it("refuse a UUIDv7 key as expired if its record may expire before the request's deadline", () => {
        const bookings = new BookingCluster().settle();
        const refusals: (NotRun | Unknown)[] = [];
        const [caller] = bookings.nodes;
        const event = {
            type: "call_started",
            call: 1_000_000,
            from: "entry",
            service: "booking",
            requestId: "0".repeat(32),
            kind: "book",
            key: "01920000-0000-7000-8000-000000000000",
            hasBufferedBody: true,
            fingerprint: "f",
            tracked: true,
            now: bookings.world.now,
            rand: 0,
        } as const;
        for (const keyAgeMs of [545_000, 500_000]) {
            const { effects } = bookings.world.reduce(caller!.state, { ...event, keyAgeMs });
            const refused = effects.find(effect => effect.type === "refuse_call");
            if (refused !== undefined) refusals.push(refused.outcome);
        }
        expect(refusals).to.deep.equal([{ type: "unknown", reason: "key-expired" }]);
    });

    it("keep the minted key of a target's call, so that an identical second call joins the first one", () => {
        const bookings = new BookingCluster().settle();
        const [caller] = bookings.nodes;
        const results: CallResult[] = [];
        const req = { from: "egress", service: "booking", requestId: "1".repeat(32), kind: "book" } as const;
        caller!.startCall(req, result => results.push(result));
        caller!.startCall(req, result => results.push(result));
        bookings.world.run(2_000);
        expect(results.map(result => result.type)).to.deep.equal(["answered", "answered"]);
        expect(bookings.startedTasks()).to.have.length(1);
    });

    it("use the minted key of the first call for an identical second one, even if the key's owner has failed", () => {
        const bookings = new BookingCluster().settle();
        const [caller] = bookings.nodes;
        const results: CallResult[] = [];
        const req = { from: "egress", service: "booking", requestId: "1".repeat(32), kind: "book" } as const;
        caller!.startCall(req, result => results.push(result));
        bookings.world.run(500);
        const ownerNode = bookings.nodes.find(node => node.target.started.length === 1)!;
        ownerNode.killHost();
        caller!.startCall(req, result => results.push(result));
        bookings.world.run(2_000);
        expect(bookings.startedTasks()).to.have.length(1);
        expect(results[1]?.type).not.to.equal("answered");
    });

    it("count as full at the limit on keys until old ones expire", () => {
        let state = createState();
        for (let id = 0; id < 50_000; id++) state = finish(state, createRun(id, `k${id}`), 0);
        expect(isKeyLimitReached(state, 1_000)).to.equal(true);
        expect(isKeyLimitReached(state, 600_001)).to.equal(false);
    });

    it("remove the oldest responses at the limit and keep their keys", () => {
        let state = createState();
        const response = { status: 200, contentType: "text/plain", body: "x".repeat(16_384) };
        for (let id = 0; id < 1_100; id++) state = finish(state, createRun(id, `k${id}`), id, response);
        expect(state.records.responseBytes).to.be.at.most(16 * 1024 * 1024);
        expect(state.records.keys.get("k0")).to.deep.include({ state: "done", answer: undefined });
        expect(state.records.keys.get("k1099")).to.have.nested.property("answer.status", 200);
        expect(isKeyLimitReached(state, 700_000)).to.equal(false);
    });

    it("are replaced by records of a former owner only if those say more about the outcome", () => {
        const done = finish(createState(), createRun(1, "k"), 5);
        const handed = { key: "k", fingerprint: "k", state: "unknown", ageMs: 0 } as const;
        expect(mergeHandedRecords(done, [handed], 10).records.keys.get("k")?.state).to.equal("done");
        const merged = mergeHandedRecords(createState(), [handed], 10);
        expect(mergeHandedRecords(merged, [{ ...handed, state: "done" }], 11).records.keys.get("k")?.state)
            .to.equal("done");
    });
});
