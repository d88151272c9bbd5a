/** Guards against BUDGET: retries of runs that make many calls, at several levels, exceed the budget of called services. */
import { expect } from "chai";
import { RetryBudget } from "../../src/policy/retryBudget.ts";
import { retryCharges } from "../../src/policy/retryDecision.ts";
import { CallTally, RouteCalls } from "../../src/policy/routeCalls.ts";

function tallyOf(calledRoute: string, service: string, calls: number): CallTally {
    const tally = new CallTally();
    for (let index = 0; index < calls; index++) tally.add(calledRoute, service);
    return tally;
}

describe("calls of a route", () => {
    it("are counted at all levels below it", () => {
        const calls = new RouteCalls();
        calls.observe("calendar", tallyOf("ledger", "booking", 2), true);
        calls.observe("ledger", tallyOf("media", "footage", 1), true);
        calls.observe("media", tallyOf("status", "gallery", 5), true);
        expect([...calls.callsBelow("calendar")]).to.deep.equal([["booking", 2], ["footage", 2], [
            "gallery",
            10,
        ]]);
    });

    it("rise at once, also by a run that fails, and fall slowly, only by runs that were answered", () => {
        const calls = new RouteCalls();
        calls.observe("r", tallyOf("s", "shop", 10), false);
        calls.observe("r", tallyOf("s", "shop", 1), false);
        calls.observe("r", undefined, false);
        expect(calls.callsBelow("r").get("shop")).to.equal(10);
        calls.observe("r", undefined, true);
        expect(calls.callsBelow("r").get("shop")).to.equal(9.9);
        for (let run = 0; run < 500; run++) calls.observe("r", tallyOf("s", "shop", 4), true);
        expect(calls.callsBelow("r").get("shop")).to.be.within(4, 4.1);
    });

    it("are sent to other nodes once for each increase, and to a node that starts", () => {
        const [calls, other] = [new RouteCalls(), new RouteCalls()];
        calls.observe("r", tallyOf("s", "shop", 3), true);
        other.merge(calls.takeIncreases());
        expect(other.callsBelow("r").get("shop")).to.equal(3);
        expect([calls.takeIncreases(), other.takeIncreases()]).to.deep.equal([[], []]);
        const started = new RouteCalls();
        started.merge(other.all());
        expect(started.callsBelow("r").get("shop")).to.equal(3);
    });

    it("are finite if routes call each other in a circle", () => {
        const calls = new RouteCalls();
        calls.observe("a", tallyOf("b", "shop", 9), true);
        calls.observe("b", tallyOf("a", "stock", 9), true);
        expect(calls.callsBelow("a").get("shop")).to.equal(1_000_000);
    });

    it("bound the repeats at a called service, whatever their number", () => {
        const [ratio, slack, windowMs, nodeCount] = [0.2, 50, 10_000, 7];
        for (const fan of [1, 4, 10, 40]) {
            const calls = new RouteCalls();
            calls.observe("calendar", tallyOf("status", "gallery", fan), true);
            const budgets = Array.from(
                { length: nodeCount },
                () => new RetryBudget({ ratio, slack, windowMs }),
            );
            for (const budget of budgets) budget.setNodeCount(nodeCount);
            const repeatTimes: number[] = [];
            for (let now = 0; now < 40_000; now += 50) {
                const budget = budgets[now / 50 % nodeCount]!;
                budget.recordRequest("gallery", now);
                for (let request = 0; request < 3; request++) budget.recordRequest("calendar", now);
                const charges = retryCharges("calendar", {
                    dependencies: ["gallery"],
                    callsBelow: calls.callsBelow("calendar"),
                    mayHaveRun: true,
                });
                if (budget.trySpend(charges, now)) {
                    for (let call = 0; call < fan; call++) repeatTimes.push(now);
                }
            }
            for (let from = 0; from < 30_000; from += 250) {
                const repeats = repeatTimes.filter(at => at >= from && at < from + windowMs).length;
                expect(repeats, `${fan} calls`).to.be.at.most(ratio * windowMs / 50 + slack);
            }
        }
    });
});

describe("the retry budget of a process that has just started", () => {
    const charge = [{ service: "s", attempts: 1 }];

    it("has no slack before it knows the other nodes, nor for one window after an earlier process", () => {
        const [first, restarted] = [0, 1].map(() =>
            new RetryBudget({ ratio: 0.2, slack: 50, windowMs: 10_000 }, Infinity)
        );
        expect(first!.trySpend(charge, 4999)).to.equal(false);
        first!.grantSlack(5000, false);
        restarted!.grantSlack(5000, true);
        expect(first!.trySpend(charge, 5000)).to.equal(true);
        expect(restarted!.trySpend(charge, 14_999)).to.equal(false);
        expect(restarted!.trySpend(charge, 15_000)).to.equal(true);
    });

    it("has its part of the requests from the beginning", () => {
        const budget = new RetryBudget({ ratio: 0.2, slack: 50, windowMs: 10_000 }, Infinity);
        for (let index = 0; index < 10; index++) budget.recordRequest("s", 6000);
        expect(budget.trySpend(charge, 6000)).to.equal(true);
    });

    it("counts a retry for a whole window, also if it falls into the middle of a bucket", () => {
        const budget = new RetryBudget({ ratio: 0, slack: 2, windowMs: 10_000 });
        expect(budget.trySpend(charge, 999)).to.equal(true);
        expect(budget.trySpend(charge, 10_900)).to.equal(false);
        expect(budget.trySpend(charge, 11_000)).to.equal(true);
    });
});
