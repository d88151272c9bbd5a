/**
 * Fairness between accounts under overload, as callers see it: an account that sends too much, or whose clients retry at
 * once, must not displace the others, and no account may be starved because its demand is misjudged.
 */
import { expect } from "chai";
import fc from "fast-check";
import { AccountFairness } from "../../src/policy/accountFairness.ts";
import { levelOf } from "../../src/policy/admissionLevel.ts";
import { PriorityDemand } from "../../src/policy/priorityDemand.ts";
import { simulateAccounts } from "../support/accountSimulation.ts";
import type { AccountSimulationOptions, SimulatedAccount } from "../support/accountSimulation.ts";
import { makeAccount } from "../support/meshFixtures.ts";

const USUAL_RATE = 600;
const ZIPF_WEIGHTS = Array.from({ length: 75 }, (_, index) => 1 / (index + 1));
const ZIPF_TOTAL = ZIPF_WEIGHTS.reduce((sum, weight) => sum + weight, 0);

/** 75 accounts with Zipf-like sizes and quotas of 1.6 times their usual rates, which are served without a surge. */
function zipfAccounts(fields: Readonly<Record<string, Partial<SimulatedAccount>>> = {}) {
    return ZIPF_WEIGHTS.map((weight, index): SimulatedAccount => {
        const rate = USUAL_RATE * weight / ZIPF_TOTAL;
        const account = makeAccount({ name: `a${index}`, ratePerS: 1.6 * rate });
        return { account, rateAt: () => rate, ...fields[account.name] };
    });
}

function simulate(
    accounts: readonly SimulatedAccount[],
    options: Partial<AccountSimulationOptions> = {},
) {
    const defaults = { nodeCount: 10, capacityPerS: 800, seconds: 16, countFromS: 4, seed: 1 };
    return simulateAccounts({ accounts, ...defaults, ...options });
}

describe("fairness between accounts", () => {
    it("protects the others from an account that sends eight times as much as usual", () => {
        const usualRate = USUAL_RATE / 3 / ZIPF_TOTAL;
        const accounts = zipfAccounts({ a2: { rateAt: second => second < 4 ? usualRate : 8 * usualRate } });
        const hot = accounts.slice(2, 3);
        const others = accounts.filter(account => !hot.includes(account));
        const hashed = simulate(accounts, { isFair: false });
        const fair = simulate(accounts);
        expect(fair.shareOf(others)).to.be.greaterThan(0.95);
        expect(fair.shareOf(others)).to.be.greaterThan(hashed.shareOf(others));
        expect(fair.total).to.be.closeTo(hashed.total, 0.02);
        expect(fair.shareOf(hot)).to.be.greaterThan(fair.total / 4);
    });

    it("gives clients that retry at once no more than others with the same demand", () => {
        const accounts = Array.from({ length: 75 }, (_, index): SimulatedAccount => ({
            account: makeAccount({ name: `a${index}` }),
            rateAt: () => 8,
            retries: index % 2 === 0 ? 5 : 0,
        }));
        const retrying = accounts.filter(({ retries }) => retries === 5);
        const patient = accounts.filter(({ retries }) => retries === 0);
        const options = { capacityPerS: 300, seconds: 30, countFromS: 10 };
        const hashed = simulate(accounts, { ...options, isFair: false });
        expect(hashed.shareOf(retrying)).to.be.greaterThan(3 * hashed.shareOf(patient));
        const fair = simulate(accounts, options);
        // Three standard errors of the difference of two shares, each of about half of the requests.
        const requests = 75 * 8 * (options.seconds - options.countFromS);
        const randomVariation = 3 * Math.sqrt(fair.total * (1 - fair.total) * 4 / requests);
        expect(fair.shareOf(retrying)).to.be.at.most(fair.shareOf(patient) + randomVariation);
    });

    it("serves accounts with very few requests as often as others", () => {
        const tiny = Array.from({ length: 40 }, (_, index): SimulatedAccount => ({
            account: makeAccount({ name: `tiny${index}`, ratePerS: 1 }),
            rateAt: () => 0.1,
        }));
        const result = simulate([...zipfAccounts(), ...tiny], { capacityPerS: 400, seconds: 300 });
        expect(result.shareOf(tiny)).to.be.greaterThan(result.total / 4);
    });

    it("starves no account whose requests all arrive at 3 of 30 nodes", () => {
        const accounts = zipfAccounts({ a5: { nodeCount: 3 }, a30: { nodeCount: 3 } });
        const result = simulate(accounts, { capacityPerS: 400, nodeCount: 30, seconds: 40 });
        for (const index of [5, 30]) {
            expect(result.shareOf([accounts[index]!]), `a${index}`).to.be.at.least(result.total / 4);
        }
    });

    it("serves all accounts when there are more than it tells apart", () => {
        const accounts = Array.from({ length: 1500 }, (_, index): SimulatedAccount => ({
            account: makeAccount({ name: `a${index}`, ratePerS: 2 }),
            rateAt: () => index === 7 ? 100 : 1,
        }));
        const options = { capacityPerS: 1200, nodeCount: 1 };
        const hashed = simulate(accounts, { ...options, isFair: false });
        const result = simulate(accounts, options);
        // Both the accounts that are told apart and the others are better off than without fairness.
        for (const [from, to] of [[8, 750], [1100, 1500]] as const) {
            const some = accounts.slice(from, to);
            expect(result.shareOf(some)).to.be.greaterThan(hashed.shareOf(some));
            expect(result.shareOf(some)).to.be.at.least(result.total / 4);
        }
        expect(result.shareOf([accounts[7]!])).to.be.within(result.total / 4, result.total / 2);
    });

    it("keeps the state of a bounded number of accounts, and only of active ones", () => {
        const demand = new PriorityDemand(0);
        for (let index = 0; index < 3000; index++) {
            demand.recordRequest(makeAccount({ name: `a${index}` }), 0);
        }
        expect(demand.accountCount).to.equal(1024);
        demand.recordRequest(makeAccount({ name: "a0" }), 1_000_000);
        expect(demand.accountCount).to.equal(1);
    });

    it("leaves levels as they are without differences between accounts", () => {
        const fairness = new AccountFairness();
        for (let index = 0; index < 2000; index++) {
            const request = { priority: 2, account: makeAccount(), requestId: `q${index}` };
            expect(fairness.levelOf(request, index * 10)).to.equal(levelOf(2, request.requestId));
        }
    });

    it("admits each account at least a quarter as often as all, and all at the share that a cutoff stands for", () => {
        const account = fc.record({ requests: fc.integer({ min: 1, max: 400 }), quota: fc.nat(300) });
        fc.assert(
            fc.property(
                fc.array(account, { minLength: 1, maxLength: 80 }),
                fc.double({ min: 0.05, max: 0.99, noNaN: true }),
                (accounts, share) => {
                    const demand = new PriorityDemand(0);
                    accounts.forEach(({ requests, quota }, index) => {
                        for (let count = 0; count < requests; count++) {
                            demand.recordRequest({ name: `a${index}`, ratePerS: quota }, 0);
                        }
                    });
                    const loads = accounts.map(({ quota }, index) =>
                        demand.recordRequest({ name: `a${index}`, ratePerS: quota }, 1000)!
                    );
                    const admittedLoad = loadOfShare(demand, share);
                    const admitted = loads.map(load => Math.min(1, admittedLoad / load));
                    expect(Math.min(...admitted)).to.be.at.least(share / 4);
                    const total = accounts.reduce((sum, { requests }) => sum + requests, 0);
                    const served = accounts.reduce(
                        (sum, { requests }, index) => sum + requests * admitted[index]!,
                        0,
                    );
                    expect(served / total).to.be.closeTo(share, 0.001);
                },
            ),
        );
    });
});

/** Load below which a share of all requests is, by bisection. */
function loadOfShare(demand: PriorityDemand, share: number): number {
    let low = 0;
    let high = 1e6;
    for (let step = 0; step < 80; step++) {
        const middle = (low + high) / 2;
        if (demand.shareBelow(middle) < share) low = middle;
        else high = middle;
    }
    return high;
}
