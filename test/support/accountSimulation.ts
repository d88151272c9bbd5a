/**
 * Simulates the accounts of one priority at an overloaded service in virtual time, without a network. Requests arrive at
 * several entry nodes; the production code sets their levels and the cutoff. The result shows what callers get.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { ClientAccount } from "../../src/mesh/types.ts";
import { AccountFairness } from "../../src/policy/accountFairness.ts";
import { levelOf } from "../../src/policy/admissionLevel.ts";
import { CutoffController } from "../../src/policy/cutoffController.ts";

export interface SimulatedAccount {
    readonly account: ClientAccount;
    /** Requests per second, not counting retries. */
    readonly rateAt: (second: number) => number;
    /** Number of entry nodes at which the requests arrive; all by default. */
    readonly nodeCount?: number;
    /** Number of times that clients send a refused request again, 20 ms later. */
    readonly retries?: number;
}

export interface AccountSimulationOptions {
    readonly accounts: readonly SimulatedAccount[];
    readonly nodeCount: number;
    readonly capacityPerS: number;
    readonly seconds: number;
    /** Start of the time whose requests are counted. */
    readonly countFromS: number;
    readonly seed: number;
    /** If false, levels are hashes only. */
    readonly isFair?: boolean;
}

export interface AccountSimulationResult {
    /** Share of the requests of some accounts that is served; retries are no requests of their own. */
    readonly shareOf: (accounts: readonly SimulatedAccount[]) => number;
    readonly total: number;
}

interface SimulatedRequest {
    readonly account: SimulatedAccount;
    readonly sentAt: number;
    readonly retriesLeft: number;
    readonly isCounted: boolean;
}

const STEP_MS = 20;
const STEPS_PER_WINDOW = 5;
const MAX_WAIT_MS = 300;
const PRIORITY = 1;

export function simulateAccounts(options: AccountSimulationOptions): AccountSimulationResult {
    const { accounts, nodeCount, capacityPerS, isFair = true } = options;
    const generator = xoroshiro128plus(options.seed);
    const random = () => uniformInt(generator, 1, 1_000_000) / 1_000_001;
    const nodes = Array.from({ length: nodeCount }, () => new AccountFairness());
    const cutoffs = new CutoffController();
    const counts = new Map(accounts.map(({ account }) => [account.name, { offered: 0, served: 0 }]));
    const queue: { request: SimulatedRequest; arrivedAt: number; }[] = [];
    let retries: SimulatedRequest[] = [];
    let lastId = 0;

    const send = (request: SimulatedRequest, now: number) => {
        const { account, nodeCount: accountNodes = nodeCount } = request.account;
        const requestId = `${options.seed}-${++lastId}`;
        const node = nodes[Math.floor(random() * accountNodes)]!;
        const level = isFair
            ? node.levelOf({ priority: PRIORITY, account, requestId }, now)
            : levelOf(PRIORITY, requestId);
        if (cutoffs.isAdmitted(level)) {
            cutoffs.recordArrival(level);
            queue.push({ request, arrivedAt: now });
        }
        else if (request.retriesLeft > 0) retries.push({ ...request, retriesLeft: request.retriesLeft - 1 });
    };

    for (let step = 0, capacity = 0; step * STEP_MS < options.seconds * 1000; step++) {
        const now = step * STEP_MS;
        const isCounted = now >= options.countFromS * 1000;
        const due = retries;
        retries = [];
        for (const request of due) send(request, now);
        for (const account of accounts) {
            const count = poisson(account.rateAt(now / 1000) * STEP_MS / 1000, random);
            if (isCounted) counts.get(account.account.name)!.offered += count;
            for (let index = 0; index < count; index++) {
                send({ account, sentAt: now, retriesLeft: account.retries ?? 0, isCounted }, now);
            }
        }
        capacity = Math.min(1, capacity) + capacityPerS * STEP_MS / 1000;
        for (; capacity >= 1 && queue.length > 0;) {
            const { request, arrivedAt } = queue.shift()!;
            if (now - arrivedAt > MAX_WAIT_MS) {
                cutoffs.recordUnserved();
                continue;
            }
            capacity--;
            cutoffs.recordStart(now - arrivedAt);
            if (request.isCounted) counts.get(request.account.account.name)!.served++;
        }
        // A target with a service time of 100 ms has a tenth of its requests per second in slots.
        if (step % STEPS_PER_WINDOW === 0) cutoffs.endWindow(queue.length / (capacityPerS / 10));
    }
    const shareOf = (some: readonly SimulatedAccount[]) => {
        let offered = 0;
        let served = 0;
        for (const { account } of some) {
            offered += counts.get(account.name)!.offered;
            served += counts.get(account.name)!.served;
        }
        return served / offered;
    };
    return { shareOf, total: shareOf(accounts) };
}

function poisson(mean: number, random: () => number): number {
    const limit = Math.exp(-mean);
    let count = 0;
    for (let product = random(); product > limit; product *= random()) count++;
    return count;
}
