/**
 * Orders requests by the priority of their account, then by that of their route, within the few priorities that
 * admission levels have. Every pair of an account priority and a route priority that occurs in the configuration gets
 * one priority. If there are more pairs than priorities, neighbouring pairs share one: those of the same account
 * priority first, as long as there are any, since the account takes precedence. The result depends on the configuration
 * only, so all nodes with the same version agree.
 */
import { PRIORITY_COUNT } from "./admissionLevel.ts";

interface PriorityClass {
    readonly firstAccountPriority: number;
    readonly lastAccountPriority: number;
    /** Number of pairs that share this priority. */
    readonly pairCount: number;
}

export class PriorityClasses {
    /** Priority by account priority and route priority. */
    private readonly priorities = new Map<number, Map<number, number>>();

    constructor(accountPriorities: readonly number[], routePriorities: readonly number[]) {
        const routes = sortedDistinct(routePriorities);
        const accounts = sortedDistinct(accountPriorities);
        // With so many account priorities, the pairs of each would be merged first anyway.
        const pairsPerClass = accounts.length >= PRIORITY_COUNT ? routes.length : 1;
        const classes = mergeClasses(
            accounts.flatMap(account =>
                Array.from({ length: routes.length / pairsPerClass }, (): PriorityClass => ({
                    firstAccountPriority: account,
                    lastAccountPriority: account,
                    pairCount: pairsPerClass,
                }))
            ),
        );
        const priorityOfPair = classes.flatMap(({ pairCount }, priority) =>
            Array.from({ length: pairCount }, () => priority)
        );
        accounts.forEach((account, accountIndex) => {
            const byRoute = routes.map((route, index): [number, number] => [
                route,
                priorityOfPair[accountIndex * routes.length + index]!,
            ]);
            this.priorities.set(account, new Map(byRoute));
        });
    }

    /** Priority of a pair; the least important one if the pair is not part of the configuration. */
    priorityOf(accountPriority: number, routePriority: number): number {
        return this.priorities.get(accountPriority)?.get(routePriority) ?? PRIORITY_COUNT - 1;
    }
}

function sortedDistinct(values: readonly number[]): readonly number[] {
    return [...new Set(values)].sort((a, b) => a - b);
}

/** Merges neighbouring classes until there are at most `PRIORITY_COUNT`. */
function mergeClasses(classes: readonly PriorityClass[]): readonly PriorityClass[] {
    const merged = [...classes];
    while (merged.length > PRIORITY_COUNT) {
        const index = cheapestMergeIndex(merged);
        const first = merged[index]!;
        const second = merged[index + 1]!;
        merged.splice(index, 2, {
            firstAccountPriority: first.firstAccountPriority,
            lastAccountPriority: second.lastAccountPriority,
            pairCount: first.pairCount + second.pairCount,
        });
    }
    return merged;
}

/**
 * Index of the first of the two classes to merge: of the same account priority if possible, then those with the fewest
 * pairs, then the least important ones.
 */
function cheapestMergeIndex(classes: readonly PriorityClass[]): number {
    let best = 0;
    let bestCost = Infinity;
    for (let index = 0; index + 1 < classes.length; index++) {
        const first = classes[index]!;
        const second = classes[index + 1]!;
        const pairCount = first.pairCount + second.pairCount;
        const isSameAccount = first.firstAccountPriority === second.lastAccountPriority;
        const cost = pairCount + (isSameAccount ? 0 : 1e9);
        if (cost > bestCost) continue;
        best = index;
        bestCost = cost;
    }
    return best;
}
