/**
 * Which targets of a service are left alone because they fail much more often than the best one. A call that fails
 * costs its caller all that the rest of the chain has done, so beyond some share a target does more harm than its
 * capacity is worth. Failures are compared with those of the other targets, since all fail alike when a service below
 * them fails. No more than half of the targets are ejected, and a report that has become old ends it: then a request
 * or two of each node find out whether the target is well again.
 */
import type { LoadReport } from "../mesh/types.ts";

export interface FailureSource {
    readonly report: LoadReport | undefined;
    /** Time of the report, ms on the steady clock. */
    readonly reportedAt: number;
}

/**
 * Failures above those of the best target from which one is ejected. With a quarter of the targets failing this often
 * and four calls a request, more requests succeed without them than with them.
 */
const EJECTED_ABOVE_BEST = 0.3;
/** A report is believed for this long. */
const REPORT_LIFE_MS = 2000;

/** Share of failures that a target has told lately, 0 where nothing is known. */
export function failureShareOf({ report, reportedAt }: FailureSource, now: number): number {
    return report === undefined || now - reportedAt >= REPORT_LIFE_MS ? 0 : report.failureShare;
}

/** Share of failures from which a target of this list is ejected; above 1 when none is. */
export function ejectionShare(targets: readonly FailureSource[], now: number): number {
    let worst = 0;
    let best = 1;
    for (const target of targets) {
        const share = failureShareOf(target, now);
        if (share > worst) worst = share;
        if (share < best) best = share;
    }
    if (worst - best < EJECTED_ABOVE_BEST) return Infinity;
    const shares = targets.map(target => failureShareOf(target, now)).sort((one, other) => other - one);
    const mostEjected = Math.floor(shares.length / 2);
    // The first share that must stay bounds the ejected ones from below.
    return Math.max(best + EJECTED_ABOVE_BEST, shares[mostEjected]! + Number.EPSILON);
}
