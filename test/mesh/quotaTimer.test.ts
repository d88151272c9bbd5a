/** Timers and waiting requests of the quotas at one node, with a pool node whose responses the test decides. */
import { expect } from "chai";
import { steadyNow } from "../../src/mesh/clock.ts";
import { Counters } from "../../src/mesh/counters.ts";
import { EventLog } from "../../src/mesh/eventLog.ts";
import { KnownNode } from "../../src/mesh/nodeDirectory.ts";
import { Quotas } from "../../src/mesh/quotas.ts";
import { makeAccount } from "../support/meshFixtures.ts";

const ACCOUNT = makeAccount({ ratePerS: 100, burst: 20 });
const settle = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** The pool node grants `tokens` tokens of the account with each response; without `tokens`, it does not respond. */
function createQuotas(tokens: number | undefined) {
    const nodes = ["own", "pool"].map(name => {
        const record = {
            name,
            address: "127.0.0.1:1",
            dataCentre: "a",
            startedAt: 0,
            serial: 0,
            target: undefined,
        };
        const node = new KnownNode(record, false, true);
        node.isConnected = name === "pool";
        return node;
    });
    const reportedAt: number[] = [];
    const quotas = new Quotas({
        name: "own",
        process: 1,
        bounds: { windowMs: 5000, overage: 0.1, slack: 20 },
        log: new EventLog({ write: () => undefined }),
        counters: new Counters(),
        directory: {
            size: nodes.length,
            allNodes: () => nodes.values(),
            get: name => nodes.find(({ record }) => record.name === name),
        },
        accounts: () => [ACCOUNT],
        configVersion: () => 1,
        request: () => {
            reportedAt.push(steadyNow());
            if (tokens === undefined) return new Promise(() => undefined);
            return Promise.resolve([1, [1, Math.floor(steadyNow())], [[0, tokens, 0, 0]]]);
        },
    });
    return { quotas, reportedAt };
}

describe("timers of the quotas", () => {
    const { setTimeout: originalTimeout, setInterval: originalInterval } = globalThis;
    let wakeUps: number;

    /** Counts the timers that fire and were started by the quotas. */
    function countWakeUps(): void {
        wakeUps = 0;
        const counted = (original: (callback: () => void, ms: number) => unknown) =>
            ((callback: () => void, ms: number) =>
                original(() => {
                    wakeUps++;
                    callback();
                }, ms)) as never;
        globalThis.setTimeout = counted(originalTimeout);
        globalThis.setInterval = counted(originalInterval);
    }

    function restoreTimers(): void {
        globalThis.setTimeout = originalTimeout;
        globalThis.setInterval = originalInterval;
    }

    afterEach(restoreTimers);

    // Guards against a timer that wakes an idle node more often than a report is due; each wake-up costs processor time.
    it("fire once per report while no request waits", async () => {
        const { quotas, reportedAt } = createQuotas(0);
        countWakeUps();
        quotas.onConfig();
        quotas.onNodesKnown();
        await new Promise<void>(resolve => originalTimeout(() => resolve(), 1500));
        restoreTimers();
        quotas.close();
        expect(reportedAt.length).to.be.at.least(2);
        expect(wakeUps).to.be.at.most(reportedAt.length);
    });

    // Guards against a request that is never answered because no timer runs for it.
    it("refuse a waiting request without a response of the pool node, also the second one", async () => {
        const { quotas } = createQuotas(undefined);
        quotas.onConfig();
        const decisions: boolean[] = [];
        for (const expected of [1, 2]) {
            expect(quotas.acquire(ACCOUNT, isAdmitted => decisions.push(isAdmitted))).to.equal("waiting");
            await settle(300);
            expect(decisions).to.deep.equal(Array(expected).fill(false));
        }
        quotas.close();
    });

    // Guards against a pool node that is taken to be silent for 10 s because its configuration arrives a little later.
    it("are not needed to answer reports before the configuration has arrived", () => {
        const { quotas } = createQuotas(undefined);
        expect(quotas.onReport(["pool", [1, 1], 1, 2, 1, 0, null, false, []])).to.be.an("array");
    });

    // Guards against tokens that run out because the timer was started before half of them were used.
    it("report early when few tokens are left", async () => {
        const { quotas } = createQuotas(10);
        quotas.onConfig();
        quotas.acquire(ACCOUNT, () => undefined);
        await settle(100);
        for (let count = 0; count < 8; count++) quotas.acquire(ACCOUNT, () => undefined);
        // The minimum interval of reports because few tokens are left.
        expect(quotas["timer"]["firesAt"] - steadyNow()).to.be.at.most(50);
        quotas.close();
    });
});
