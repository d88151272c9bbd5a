/** Tests of requests that crash targets: such a request must not crash one target after another. */
import { expect } from "chai";
import { BookingCluster } from "./fakes/bookingCluster.ts";
import type { FakeNode } from "./fakes/fakeNode.ts";
import type { CallResult } from "./fakes/world.ts";

const POISON_REQUEST_ID = "dead".repeat(8);

/** A world in which one request crashes every target that starts it; targets restart after 500 ms. */
function createWorld(nodes = 5): { readonly bookings: BookingCluster; readonly crashes: () => number; } {
    const bookings = new BookingCluster({ nodes, target: { serviceMs: 50 } }).settle();
    let crashes = 0;
    for (const node of bookings.nodes) {
        node.target.crashesOn = task => {
            if (task.requestId !== POISON_REQUEST_ID && task.key !== "entry:poison") return false;
            crashes++;
            bookings.world.scheduler.after(500, () => restart(node));
            return true;
        };
    }
    return { bookings, crashes: () => crashes };
}

function restart(node: FakeNode): void {
    node.target.restart();
    node.dispatch({ type: "target_announced", address: { host: "127.0.0.1", port: 1 } });
}

function send(
    bookings: BookingCluster,
    kind: string,
    opts: { key?: string; requestId?: string; },
): CallResult[] {
    const results: CallResult[] = [];
    bookings.world.request(bookings.nodes[0]!, kind, result => results.push(result), opts);
    return results;
}

function suspectsOf(node: FakeNode) {
    return node.state.crashes.suspects;
}

describe("crashes", () => {
    it("block a request after its second crash, and report to its caller that it may have run", () => {
        const { bookings, crashes } = createWorld();
        const firstResults = send(bookings, "browse", { requestId: POISON_REQUEST_ID });
        bookings.world.run(2_000);
        expect(crashes()).to.equal(2);
        expect(firstResults[0]?.type).to.equal("unknown");
        for (let i = 0; i < 20; i++) {
            const results = send(bookings, "browse", { requestId: POISON_REQUEST_ID });
            bookings.world.run(2_000);
            expect(results[0]).to.include({ type: "not-run", reason: "crashes-targets" });
        }
        expect(crashes()).to.equal(2);
    });

    it("clear other requests that were in progress when the blocked request crashed a target", () => {
        const { bookings } = createWorld();
        const others = Array.from({ length: 30 }, () => send(bookings, "browse", {}));
        bookings.world.run(3);
        send(bookings, "browse", { requestId: POISON_REQUEST_ID });
        bookings.world.run(5_000);
        expect(others.map(results => results[0]?.type)).to.deep.equal(others.map(() => "answered"));
        for (const node of bookings.nodes) {
            expect(suspectsOf(node).keySeq().toArray()).to.deep.equal([`booking ${POISON_REQUEST_ID}`]);
        }
    });

    it("clear a non-idempotent suspect, which is not run again and so cannot complete without a crash", () => {
        const { bookings } = createWorld(2);
        const others = Array.from(
            { length: 10 },
            (_, index) => send(bookings, "book", { key: `k${index}` }),
        );
        bookings.world.run(3);
        send(bookings, "browse", { requestId: POISON_REQUEST_ID });
        bookings.world.run(5_000);
        expect(others.some(results => results[0]?.type === "unknown")).to.equal(true);
        for (const node of bookings.nodes) {
            expect(suspectsOf(node).keySeq().toArray()).to.deep.equal([`booking ${POISON_REQUEST_ID}`]);
        }
    });

    it("let only one suspect at a time run at a target", () => {
        const { bookings } = createWorld(2);
        const ids = Array.from({ length: 6 }, (_, index) => String(index).repeat(32));
        const allResults = ids.map(requestId => send(bookings, "browse", { requestId }));
        bookings.world.run(5);
        bookings.nodes[0]!.target.crash();
        bookings.world.run(3);
        const survivor = bookings.nodes[1]!;
        const suspects = new Set(suspectsOf(survivor).keys());
        let maxAtTarget = 0;
        survivor.onEffect = () => {
            const atTarget = survivor.state.runs.runs.filter(run =>
                run.phase === "forwarded" && run.forwardedAt! >= bookings.world.now - 1
                && suspects.has(run.fingerprint)
            );
            maxAtTarget = Math.max(maxAtTarget, atTarget.size);
        };
        bookings.world.run(5_000);
        expect(suspects.size).to.be.greaterThan(1);
        expect(maxAtTarget).to.equal(1);
        expect(allResults.filter(results => results[0]?.type === "answered")).to.have.length(6);
        expect(suspectsOf(survivor).size).to.equal(0);
    });

    it("do not lead to another run of a non-idempotent request", () => {
        const { bookings, crashes } = createWorld();
        for (let i = 0; i < 10; i++) {
            const results = send(bookings, "book", { key: "poison" });
            bookings.world.run(2_000);
            expect(results[0]?.type).to.equal("unknown");
        }
        expect(crashes()).to.equal(1);
        expect(bookings.startCount("poison")).to.equal(1);
    });

    it("are not assumed, and no request becomes a suspect, when a whole host fails", () => {
        const { bookings } = createWorld();
        for (let i = 0; i < 30; i++) send(bookings, "browse", {});
        bookings.world.run(5);
        bookings.nodes[1]!.killHost();
        bookings.world.run(5_000);
        for (const node of bookings.nodes.filter(found => found.alive)) {
            expect(suspectsOf(node).size).to.equal(0);
        }
    });
});
