/**
 * Queue of the requests that wait for a slot of a target, ordered by priority and, within a priority, by arrival. A
 * request expires when it has waited so long that starting it would no longer help its caller.
 */
import { LEVELS_PER_PRIORITY } from "./admissionLevel.ts";

export interface QueueItem {
    readonly level: number;
    /** Time in ms on the monotonic clock at which the request expires. */
    readonly expiresAt: number;
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

    /** Number of queued requests that would start before a new request with this level. */
    countAhead(level: number): number {
        let ahead = 0;
        for (let priority = 0; priority <= priorityOf(level); priority++) {
            ahead += this.itemsByPriority[priority]!.length;
        }
        return ahead;
    }

    /** Removes and returns the next request to start; removes expired ones before it and passes them to `onExpired`. */
    shift(now: number, onExpired: (item: T) => void): T | undefined {
        for (const items of this.itemsByPriority) {
            while (items.length > 0) {
                const item = items.shift()!;
                this.count--;
                if (item.expiresAt > now) return item;
                onExpired(item);
            }
        }
        return undefined;
    }

    /** Returns the next request to start; removes expired ones before it and passes them to `onExpired`. */
    peek(now: number, onExpired: (item: T) => void): T | undefined {
        for (const items of this.itemsByPriority) {
            while (items.length > 0) {
                const item = items[0]!;
                if (item.expiresAt > now) return item;
                items.shift();
                this.count--;
                onExpired(item);
            }
        }
        return undefined;
    }

    /** Removes a request; returns false if it is not in the queue. */
    remove(item: T): boolean {
        const items = this.itemsByPriority[priorityOf(item.level)]!;
        const index = items.indexOf(item);
        if (index < 0) return false;
        items.splice(index, 1);
        this.count--;
        return true;
    }

    /** Removes and returns all expired requests. */
    removeExpired(now: number): readonly T[] {
        const expired: T[] = [];
        for (let priority = 0; priority < PRIORITY_COUNT; priority++) {
            const items = this.itemsByPriority[priority]!;
            if (items.every(item => item.expiresAt > now)) continue;
            expired.push(...items.filter(item => item.expiresAt <= now));
            this.itemsByPriority[priority] = items.filter(item => item.expiresAt > now);
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
