/**
 * Requests that wait for a slot of a target: the most important priority first, within it in order of arrival.
 * A request leaves the queue when waiting is of no use to its caller any more.
 */
import { LEVELS_PER_PRIORITY } from "./admissionLevel.ts";

export interface QueueItem {
    readonly level: number;
    /** Time at which waiting ends, ms on the steady clock. */
    readonly waitUntil: number;
}

const PRIORITY_COUNT = 8;

export class PriorityQueue<T extends QueueItem> {
    private readonly itemsByPriority: T[][] = Array.from({ length: PRIORITY_COUNT }, () => []);
    private count = 0;

    get length(): number {
        return this.count;
    }

    push(item: T): void {
        this.itemsByPriority[priorityOf(item.level)]!.push(item);
        this.count++;
    }

    /** Requests that would be served before one with this level. */
    countAhead(level: number): number {
        let ahead = 0;
        for (let priority = 0; priority <= priorityOf(level); priority++) {
            ahead += this.itemsByPriority[priority]!.length;
        }
        return ahead;
    }

    /** The next request to run; those whose time has passed are handed to `onExpired`. */
    shift(now: number, onExpired: (item: T) => void): T | undefined {
        for (const items of this.itemsByPriority) {
            while (items.length > 0) {
                const item = items.shift()!;
                this.count--;
                if (item.waitUntil > now) return item;
                onExpired(item);
            }
        }
        return undefined;
    }

    remove(item: T): boolean {
        const items = this.itemsByPriority[priorityOf(item.level)]!;
        const index = items.indexOf(item);
        if (index < 0) return false;
        items.splice(index, 1);
        this.count--;
        return true;
    }

    /** Removes and returns every request whose time has passed. */
    removeExpired(now: number): readonly T[] {
        const expired: T[] = [];
        for (let priority = 0; priority < PRIORITY_COUNT; priority++) {
            const items = this.itemsByPriority[priority]!;
            if (items.every(item => item.waitUntil > now)) continue;
            expired.push(...items.filter(item => item.waitUntil <= now));
            this.itemsByPriority[priority] = items.filter(item => item.waitUntil > now);
        }
        this.count -= expired.length;
        return expired;
    }

    removeAll(): readonly T[] {
        const all = this.itemsByPriority.flat();
        for (const items of this.itemsByPriority) items.length = 0;
        this.count = 0;
        return all;
    }
}

function priorityOf(level: number): number {
    return Math.min(PRIORITY_COUNT - 1, Math.floor(level / LEVELS_PER_PRIORITY));
}
