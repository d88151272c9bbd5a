/**
 * Decisions about the memory that clients use. Load: many large bodies that stall, which must neither displace small
 * requests nor each other so that none is completed, and unread responses.
 */
import { expect } from "chai";
import {
    chooseLargeVictims,
    chooseResumed,
    chooseSmallVictims,
    chooseUnreadResponses,
    MemoryBudget,
} from "../../src/policy/memoryBudget.ts";
import type { HolderState, MemoryHolder } from "../../src/policy/memoryBudget.ts";

const MB = 1_000_000;

function makeHolder(
    heldBytes: number,
    holderState: HolderState,
    { progressAt = 0, messageStartedAt = 0 } = {},
): MemoryHolder {
    return { heldBytes, holderState, progressAt, messageStartedAt };
}

/** Budget of a host with 250 MB, in which these holders are counted. */
function makeBudget(holders: readonly MemoryHolder[] = []): MemoryBudget {
    const budget = new MemoryBudget(250);
    for (const { heldBytes } of holders) budget.resize(0, heldBytes);
    return budget;
}

describe("memory budget", () => {
    it("has room for a body of 64 MiB on the smallest host, and for less than two", () => {
        const budget = makeBudget();
        expect(budget.tryResize(0, 64 * 1024 * 1024, "request")).equal(true);
        expect(budget.tryResize(0, 64 * 1024 * 1024, "request")).equal(false);
        expect(budget.refusals).equal(1);
    });

    it("keeps its small part for small requests, and part of the large one for responses", () => {
        const budget = makeBudget([makeHolder(70 * MB, "receiving")]);
        expect(budget.tryResize(0, 2 * MB, "request")).equal(false);
        expect(budget.tryResize(0, 60_000, "request")).equal(true);
        expect(budget.tryResize(0, 2 * MB, "response")).equal(true);
        budget.resize(60_000, 70_000);
        expect(budget.smallBytes).equal(0);
        expect(budget.largeBytes).equal(72 * MB + 70_000);
    });

    it("takes memory from stalled bodies, the longest stalled first, and from none while there is room", () => {
        const holders = [
            makeHolder(30 * MB, "receiving", { progressAt: 400 }),
            makeHolder(30 * MB, "receiving", { progressAt: 100 }),
            makeHolder(30 * MB, "running", { progressAt: 0 }),
        ];
        expect(chooseLargeVictims(holders, makeBudget(holders), 1000)).deep.equal([holders[1]]);
        expect(chooseLargeVictims(holders.slice(1), makeBudget(holders.slice(1)), 1000)).deep.equal([]);
    });

    it("refuses the body that began last if all wait, and completes the one that began first", () => {
        const holders = [3, 1, 2].map(messageStartedAt =>
            makeHolder(25 * MB, "waiting", { progressAt: 0, messageStartedAt })
        );
        expect(chooseLargeVictims(holders, makeBudget(holders), 900)).deep.equal([]);
        expect(chooseLargeVictims(holders, makeBudget(holders), 1100)).deep.equal([holders[0]]);
        expect(chooseResumed(holders, makeBudget(holders))).deep.equal([]);
        expect(chooseResumed(holders, makeBudget([holders[0]!, makeHolder(40 * MB, "running")])))
            .deep.equal([holders[1]]);
    });

    it("takes memory from unread responses when a response has no room, but not from running requests", () => {
        const holders = [
            makeHolder(40 * MB, "running"),
            makeHolder(20 * MB, "sending", { progressAt: 200 }),
            makeHolder(20 * MB, "sending", { progressAt: 100 }),
        ];
        expect(chooseUnreadResponses(holders, makeBudget(holders))).deep.equal([holders[2]]);
    });

    it("takes small requests without progress when the small part is full, those that run excepted", () => {
        const holders = Array.from(
            { length: 500 },
            (_, index) => makeHolder(64_000, index < 10 ? "running" : "receiving", { progressAt: index }),
        );
        const victims = chooseSmallVictims(holders, makeBudget(holders));
        expect(victims[0]).equal(holders[10]);
        expect(victims.length).within(70, 90);
    });
});
