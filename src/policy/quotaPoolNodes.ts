/**
 * Chooses the pool node of each quota pool by rendezvous hashing: nodes with the same view choose the same one, and the
 * loss of a node moves only its own pools. Nodes with different views are safe, since each share is at one pool node.
 */
import { fnv1aHash } from "./admissionLevel.ts";

/**
 * A better pool node is chosen only after it has been usable for this long, since a move interrupts the pool for up to
 * the lifetime of a token, and a node that restarts may be lost again.
 */
const MOVE_DELAY_MS = 3000;
/** Time for which a node that did not answer is not chosen, unless there is no other one. */
const SILENT_MS = 10_000;

export interface PoolNodeState {
    readonly current: string | undefined;
    /** Whether the share is lent to the current pool node. Otherwise a move costs nothing. */
    readonly isLent: boolean;
    /** Whether the current pool node does not answer reports. */
    readonly isSilent: boolean;
    readonly isUsable: (nodeName: string) => boolean;
}

export class PoolNodeChooser {
    /** All nodes, in the order in which they are preferred as the pool node. */
    private order: readonly string[] = [];
    private readonly silentUntil = new Map<string, number>();
    private better: { readonly name: string; readonly since: number; } | undefined;

    constructor(private readonly poolCount: number, private readonly poolIndex: number) {}

    setNodes(names: readonly string[]): void {
        const seed = `${this.poolIndex}/${this.poolCount}/`;
        const hashes = new Map(names.map(name => [name, fnv1aHash(seed + name) >>> 0]));
        this.order = [...names].sort((a, b) => hashes.get(a)! - hashes.get(b)! || (a < b ? -1 : 1));
    }

    /** Name of the pool node to be used from now on; `undefined` if no node is usable. */
    choose({ current, isLent, isSilent, isUsable }: PoolNodeState, now: number): string | undefined {
        for (const [name, until] of this.silentUntil) if (until <= now) this.silentUntil.delete(name);
        if (isSilent && current !== undefined) this.silentUntil.set(current, now + SILENT_MS);
        const best = this.order.find(name => isUsable(name) && !this.silentUntil.has(name))
            ?? this.order.find(isUsable);
        if (best === current || current === undefined || !isLent || isSilent || !isUsable(current)) {
            this.better = undefined;
            return best;
        }
        if (this.better === undefined || this.better.name !== best) {
            this.better = best === undefined ? undefined : { name: best, since: now };
            return current;
        }
        if (now - this.better.since < MOVE_DELAY_MS) return current;
        this.better = undefined;
        return best;
    }
}
