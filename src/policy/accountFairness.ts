/**
 * Shares the capacity for one priority among the accounts by what they are owed, by means of the levels within the
 * priority. Used at the entry node for client requests that their quota admits.
 *
 * Today's cutoff admits the same share of every account's requests, so an account that sends eight times as much, or
 * whose clients retry at once, gets eight times as much. Here, the requests of an account are spread over the range
 * from 0 to its load, the ratio of its demand to what it is owed, and the level is the rank of that value among all
 * requests of the priority at this node. A cutoff at some level then admits of each account either all requests or a
 * fixed multiple of what it is owed (weighted max-min fairness). The levels of all requests together remain uniformly
 * distributed, as the cutoff controller expects.
 *
 * What an account is owed at this node is not known exactly, since its requests may arrive at few nodes or at all. Loads
 * are therefore capped, so that any error costs an account a bounded part of its service.
 */
import type { ClientAccount } from "../mesh/types.ts";
import { fnv1aHash, levelOf, LEVELS_PER_PRIORITY } from "./admissionLevel.ts";
import { PriorityDemand } from "./priorityDemand.ts";

export interface FairLevelRequest {
    /** Priority of the request for `levelOf`. */
    readonly priority: number;
    /** `undefined` for an anonymous request; all of these count as one account. */
    readonly account: ClientAccount | undefined;
    readonly requestId: string;
}

const ANONYMOUS: Pick<ClientAccount, "name" | "ratePerS"> = { name: "", ratePerS: 0 };
/** Bits of the hash below the level; without them, the rank of a request could take 128 values only. */
const FRACTION_BITS = 16;

export class AccountFairness {
    private readonly demandByPriority = new Map<number, PriorityDemand>();

    /** Level of a request, which is counted as demand of its account. `now` is monotonic time in ms. */
    levelOf({ priority, account = undefined, requestId }: FairLevelRequest, now: number): number {
        const level = levelOf(priority, requestId);
        let demand = this.demandByPriority.get(priority);
        if (demand === undefined) this.demandByPriority.set(priority, demand = new PriorityDemand(now));
        const load = demand.recordRequest(account ?? ANONYMOUS, now);
        if (load === undefined) return level;
        const firstLevel = level - level % LEVELS_PER_PRIORITY;
        // With equal loads of all accounts, the result is `level` again.
        const position = (level - firstLevel + fractionOf(requestId)) / LEVELS_PER_PRIORITY;
        const rank = demand.shareBelow(position * load);
        return firstLevel + Math.min(LEVELS_PER_PRIORITY - 1, Math.floor(rank * LEVELS_PER_PRIORITY));
    }
}

/** A number in [0, 1) that does not depend on the bits of the hash that make up the level. */
function fractionOf(requestId: string): number {
    const hash = Math.imul(fnv1aHash(requestId), 0x9e3779b1);
    return (hash >>> (32 - FRACTION_BITS)) / (1 << FRACTION_BITS);
}
