/**
 * Demand of the accounts for one priority at one node, and the distribution of the requests by load that follows from
 * it. A request costs a lookup and a binary search; the work that grows with the number of accounts is done at intervals.
 */
import type { ClientAccount } from "../mesh/types.ts";

interface AccountDemand {
    /** Quota in requests per second; 0 if there is none. */
    quota: number;
    /** Requests since the last refresh. */
    arrivals: number;
    /** Decayed counts of the requests before that. */
    recent: number;
    usual: number;
    /** Ratio of the demand to what the account is owed, as of the last refresh. */
    load: number;
}

interface LoadedAccount {
    readonly demand: AccountDemand;
    /** Requests per second. */
    readonly rate: number;
    /** Requests per second that the account is owed at this node, in proportion to the other accounts. */
    readonly owed: number;
}

/** Further accounts are not told apart: their requests get the level that they have without accounts. */
const MAX_ACCOUNTS = 1024;
/**
 * The distribution is updated after the longer interval, or after the shorter one if there were enough requests. An
 * update with 75 accounts costs about 0.5 ms in code that runs so rarely that it is not optimized.
 */
const MAX_REFRESH_INTERVAL_MS = 1000;
const MIN_REFRESH_INTERVAL_MS = 200;
const MIN_REFRESH_REQUESTS = 100;
/**
 * Time constant of the current demand. At the rates of single accounts at single nodes, about one request per second,
 * a time constant of 2 s counted so much random variation as load that clients that retry at once gained more by it.
 */
const RECENT_MS = 4000;
/** Time constant of the usual demand: long compared with bursts of some seconds. */
const USUAL_MS = 120_000;
/**
 * Number of requests that count as much as all of an account's own recent ones when its load is estimated. With fewer
 * requests, the load is taken to be nearer to the mean, since the random variation is larger than the demand. With 1,
 * clients that retried at once were served more than others, since part of their higher demand did not count.
 */
const PRIOR_REQUESTS = 0.25;
/** Accounts with a lower decayed count of usual requests are forgotten. */
const MIN_USUAL_REQUESTS = 0.05;
/** Accounts with a lower decayed count of recent requests do not count as part of the current demand. */
const MIN_RECENT_REQUESTS = 0.05;
/**
 * How many times less often the requests of an account may be admitted than those of all. A factor of 4 is allowed;
 * the difference is a margin for the random variation of the demand.
 */
const MAX_DISADVANTAGE = 3.5;
/** The bound holds for cutoffs that admit at least this share. Below it, even idle accounts would count. */
const MIN_ADMITTED_SHARE = 0.05;
/** Capping loads lowers the admitted load and thus the cap, so it is repeated until the cap changes by less than this. */
const CAP_TOLERANCE = 0.02;
const MAX_CAP_PASSES = 20;
/** An account whose usual demand exceeds its share by this factor is taken to send through few nodes only. */
const CONCENTRATED_FACTOR = 2;

export class PriorityDemand {
    private readonly accounts = new Map<string, AccountDemand>();
    private refreshedAt: number;
    private requestsSinceRefresh = 0;
    private totalRate = 0;
    /** Requests per second divided by what all accounts are owed. */
    private meanLoad = 0;
    /** Loads of the accounts, ascending; for each, sums over the accounts before it and from it on. */
    private loads = new Float64Array(0);
    private rateBelow = new Float64Array(1);
    private ratePerLoadFrom = new Float64Array(1);

    constructor(private readonly startedAt: number) {
        this.refreshedAt = startedAt;
    }

    /** Number of accounts that are told apart. */
    get accountCount(): number {
        return this.accounts.size;
    }

    /** Records a request. Returns the load of the account, or `undefined` if nothing is known about the accounts. */
    recordRequest(
        { name, ratePerS }: Pick<ClientAccount, "name" | "ratePerS">,
        now: number,
    ): number | undefined {
        const elapsedMs = now - this.refreshedAt;
        this.requestsSinceRefresh++;
        const isDue = elapsedMs >= MAX_REFRESH_INTERVAL_MS
            || elapsedMs >= MIN_REFRESH_INTERVAL_MS && this.requestsSinceRefresh > MIN_REFRESH_REQUESTS;
        if (isDue) this.refresh(now);
        let account = this.accounts.get(name);
        if (account === undefined) {
            if (this.accounts.size >= MAX_ACCOUNTS) return undefined;
            account = { quota: ratePerS, arrivals: 0, recent: 0, usual: 0, load: this.meanLoad };
            this.accounts.set(name, account);
        }
        account.arrivals++;
        account.quota = ratePerS;
        return this.totalRate === 0 ? undefined : account.load;
    }

    /** Share of the requests whose position is below `position`; each account's are uniform from 0 to its load. */
    shareBelow(position: number): number {
        let low = 0;
        let high = this.loads.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (this.loads[middle]! <= position) low = middle + 1;
            else high = middle;
        }
        return (this.rateBelow[low]! + position * this.ratePerLoadFrom[low]!) / this.totalRate;
    }

    private refresh(now: number): void {
        const elapsedMs = now - this.refreshedAt;
        this.refreshedAt = now;
        this.requestsSinceRefresh = 0;
        const recentDecay = Math.exp(-elapsedMs / RECENT_MS);
        const usualDecay = Math.exp(-elapsedMs / USUAL_MS);
        for (const [name, account] of this.accounts) {
            account.recent = (account.recent + account.arrivals) * recentDecay;
            account.usual = (account.usual + account.arrivals) * usualDecay;
            account.arrivals = 0;
            if (account.usual < MIN_USUAL_REQUESTS) this.accounts.delete(name);
        }
        const recentS = observedSeconds(now - this.startedAt, RECENT_MS);
        this.updateDistribution(this.loadedAccounts(now, recentS), recentS);
    }

    /** Rates of all accounts with recent requests, and what they are owed. */
    private loadedAccounts(now: number, recentS: number): readonly LoadedAccount[] {
        const usualS = observedSeconds(now - this.startedAt, USUAL_MS);
        const accounts = [...this.accounts.values()];
        const defaultQuota = meanQuota(accounts);
        const weightOf = ({ quota }: AccountDemand) => quota === 0 ? defaultQuota : quota;
        const meanRate = usualPerWeight(accounts, weightOf);
        // Otherwise, the demand of an account that sends through few nodes would raise the shares of all others here.
        const spread = accounts.filter(account =>
            account.quota === 0 || account.usual <= CONCENTRATED_FACTOR * meanRate * weightOf(account)
        );
        const ratePerWeight = usualPerWeight(spread, weightOf) / usualS;
        return accounts.filter(({ recent }) => recent >= MIN_RECENT_REQUESTS).map(demand => {
            const { quota, recent, usual } = demand;
            const equalShare = weightOf(demand) * ratePerWeight;
            // An account may send its whole quota through few nodes, and then more than its share at each of them.
            const owed = quota === 0 ? equalShare : Math.max(equalShare, Math.min(quota, usual / usualS));
            return { demand, rate: recent / recentS, owed };
        });
    }

    private updateDistribution(accounts: readonly LoadedAccount[], recentS: number): void {
        this.totalRate = accounts.reduce((sum, { rate }) => sum + rate, 0);
        if (this.totalRate === 0) return;
        this.meanLoad = this.totalRate / accounts.reduce((sum, { owed }) => sum + owed, 0);
        for (const account of this.accounts.values()) account.load = this.meanLoad;
        const priorRate = PRIOR_REQUESTS / recentS;
        for (const { demand, rate, owed } of accounts) {
            demand.load = (rate + priorRate * this.meanLoad) / (owed + priorRate);
        }
        const sorted = accounts.toSorted((a, b) => a.demand.load - b.demand.load);
        capLoads(sorted, this.totalRate);
        this.loads = Float64Array.from(sorted, ({ demand }) => demand.load);
        this.rateBelow = new Float64Array(sorted.length + 1);
        this.ratePerLoadFrom = new Float64Array(sorted.length + 1);
        for (const [index, { rate }] of sorted.entries()) {
            this.rateBelow[index + 1] = this.rateBelow[index]! + rate;
        }
        for (let index = sorted.length - 1; index >= 0; index--) {
            const { rate, demand } = sorted[index]!;
            this.ratePerLoadFrom[index] = this.ratePerLoadFrom[index + 1]! + rate / demand.load;
        }
    }
}

/** Lowers loads until `MAX_DISADVANTAGE` holds. The accounts are sorted by load and stay so. */
function capLoads(accounts: readonly LoadedAccount[], totalRate: number): void {
    for (let pass = 0; pass < MAX_CAP_PASSES; pass++) {
        const admittedLoad = loadOfShare(accounts, totalRate, MIN_ADMITTED_SHARE);
        const maxLoad = admittedLoad / MIN_ADMITTED_SHARE * MAX_DISADVANTAGE;
        if (accounts.at(-1)!.demand.load <= maxLoad * (1 + CAP_TOLERANCE)) return;
        for (let index = accounts.length - 1; index >= 0; index--) {
            const { demand } = accounts[index]!;
            if (demand.load <= maxLoad) break;
            demand.load = maxLoad;
        }
    }
}

/** The load up to which requests are admitted if `share` of all requests are. */
function loadOfShare(accounts: readonly LoadedAccount[], totalRate: number, share: number): number {
    let remainingRate = totalRate * share;
    let ratePerLoad = accounts.reduce((sum, { rate, demand }) => sum + rate / demand.load, 0);
    for (const { rate, demand } of accounts) {
        if (demand.load * ratePerLoad >= remainingRate) break;
        remainingRate -= rate;
        ratePerLoad -= rate / demand.load;
    }
    return remainingRate / ratePerLoad;
}

/** Time in s that a decayed count of events covers, less at the beginning. */
function observedSeconds(elapsedMs: number, timeConstantMs: number): number {
    return timeConstantMs * (1 - Math.exp(-elapsedMs / timeConstantMs)) / 1000;
}

function usualPerWeight(
    accounts: readonly AccountDemand[],
    weightOf: (account: AccountDemand) => number,
): number {
    let usual = 0;
    let weight = 0;
    for (const account of accounts) {
        usual += account.usual;
        weight += weightOf(account);
    }
    return usual / weight;
}

/** Mean quota of the accounts that have one. It is also the weight of those that have none; 1 if none has one. */
function meanQuota(accounts: readonly AccountDemand[]): number {
    const quotas = accounts.map(({ quota }) => quota).filter(quota => quota > 0);
    return quotas.length === 0 ? 1 : quotas.reduce((sum, quota) => sum + quota, 0) / quotas.length;
}
