/**
 * Requests that wait for a slot of a target: the most important priority first, within it in order of arrival.
 * A request leaves the queue when waiting is of no use to its caller any more.
 */
import { BUCKETS } from "./level.ts";

export interface Waiting {
    readonly level: number;
    /** Time at which waiting ends, ms on the steady clock. */
    readonly waitUntil: number;
}

const CLASSES = 8;

export class PriorityQueue<T extends Waiting> {
    private readonly classes: T[][] = Array.from({ length: CLASSES }, () => []);
    private count = 0;

    get length(): number {
        return this.count;
    }

    push(item: T): void {
        this.classes[classOf(item.level)]!.push(item);
        this.count++;
    }

    /** Requests that would be served before one with this level. */
    countAhead(level: number): number {
        let ahead = 0;
        for (let index = 0; index <= classOf(level); index++) ahead += this.classes[index]!.length;
        return ahead;
    }

    /** The next request to run; those whose time has passed are handed to `onExpired`. */
    shift(now: number, onExpired: (item: T) => void): T | undefined {
        for (const items of this.classes) {
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
        const items = this.classes[classOf(item.level)]!;
        const index = items.indexOf(item);
        if (index < 0) return false;
        items.splice(index, 1);
        this.count--;
        return true;
    }

    /** Removes and returns every request whose time has passed. */
    takeExpired(now: number): readonly T[] {
        const expired: T[] = [];
        for (let index = 0; index < CLASSES; index++) {
            const items = this.classes[index]!;
            if (items.every(item => item.waitUntil > now)) continue;
            expired.push(...items.filter(item => item.waitUntil <= now));
            this.classes[index] = items.filter(item => item.waitUntil > now);
        }
        this.count -= expired.length;
        return expired;
    }

    takeAll(): readonly T[] {
        const all = this.classes.flat();
        for (const items of this.classes) items.length = 0;
        this.count = 0;
        return all;
    }
}

function classOf(level: number): number {
    return Math.min(CLASSES - 1, Math.floor(level / BUCKETS));
}
