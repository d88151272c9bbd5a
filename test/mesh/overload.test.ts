/** What callers get while the last service of a chain has less capacity than they ask for. */
import { expect } from "chai";
import { playModel } from "../support/overloadModel.ts";
import type { ClassResult, ModelClass } from "../support/overloadModel.ts";

const SLOTS = 24;
const TARGETS = 4;
const WORK_MS = 22;

const CLASSES: readonly ModelClass[] = [
    { name: "cancel", priority: 0, perSecond: 260, calls: 8, objectiveMs: 1500, deadlineMs: 5000 },
    { name: "forecast", priority: 1, perSecond: 240, calls: 1, objectiveMs: 150, deadlineMs: 600 },
    { name: "lookup", priority: 2, perSecond: 700, calls: 4, objectiveMs: 1200, deadlineMs: 5000 },
];

function play(factor: number, seed: number, isReturning = false): ReadonlyMap<string, ClassResult> {
    const classes = CLASSES.map(kind => ({ ...kind, perSecond: kind.perSecond * factor }));
    return playModel({
        classes,
        targets: TARGETS,
        slots: SLOTS,
        workMs: WORK_MS,
        seconds: 20,
        seed,
        isReturning,
    });
}

const share = ({ inTime, asked }: ClassResult) => inTime / asked;

describe("overload of the last service", () => {
    for (const seed of [1, 2, 3]) {
        it(`serves the important whole and fills the capacity with the rest, seed ${seed}`, () => {
            const results = play(1.3, seed);
            const [cancel, forecast, lookup] = CLASSES.map(({ name }) => results.get(name)!);
            expect(share(cancel!)).to.be.greaterThan(0.95);
            expect(share(forecast!)).to.be.greaterThan(0.95);
            const capacity = TARGETS * SLOTS * 1000 / WORK_MS * 20;
            const used = [...results].reduce(
                (sum, [name, { inTime }]) => sum + inTime * CLASSES.find(kind => kind.name === name)!.calls,
                0,
            );
            expect(used / capacity).to.be.greaterThan(0.8);
            expect(lookup!.late + lookup!.failed).to.be.lessThan(lookup!.asked * 0.05);
        });
    }

    for (const seed of [1, 2, 3]) {
        it(`answers those that come back after a refusal within their latency objective, seed ${seed}`, () => {
            const { returnedInTime, returnedLate } = play(1.3, seed, true).get("lookup")!;
            expect(returnedInTime + returnedLate).to.be.greaterThan(500);
            expect(returnedInTime / (returnedInTime + returnedLate)).to.be.greaterThan(0.9);
        });
    }

    it("refuses nobody while the capacity suffices", () => {
        const results = play(0.7, 1);
        for (const [name, { refused, asked }] of results) expect(refused / asked, name).to.be.lessThan(0.01);
    });
});
