/** Comparison of target records that come from different sources: the target itself, the store and other nodes. */
import type { TargetRecord, TargetState } from "./types.ts";

/** What identifies one start of a target. */
type TargetStart = Pick<TargetRecord, "id" | "bornAt">;

const STATE_ORDER: Readonly<Record<TargetState, number>> = { ready: 0, draining: 1, gone: 2 };

export function isSameStart(one: TargetStart, other: TargetStart): boolean {
    return one.id === other.id && one.bornAt === other.bornAt;
}

/**
 * Merges what two sources know of the target of one host. Of two starts, the later one is valid. Within one start, the
 * more advanced state is valid, since a target that has begun to leave does not return.
 */
export function mergeTargets(known: TargetRecord | undefined, other: TargetRecord): TargetRecord {
    if (known === undefined) return other;
    if (!isSameStart(known, other)) return other.bornAt > known.bornAt ? other : known;
    return STATE_ORDER[other.state] > STATE_ORDER[known.state] ? { ...known, state: other.state } : known;
}

/** Whether two records say the same of a target. */
export function isSameTarget(one: TargetRecord | undefined, other: TargetRecord | undefined): boolean {
    return one?.id === other?.id && one?.service === other?.service && one?.state === other?.state
        && one?.slots === other?.slots && one?.bornAt === other?.bornAt;
}
