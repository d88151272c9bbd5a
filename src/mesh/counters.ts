/** Counters of the data plane: plain numbers on the request path, turned into metrics only when they are read. */
import type { FailureReason, RefusalReason, RepeatReason } from "./types.ts";

export class Counters {
    readonly requests = new Map<string, number>();
    readonly refusals = new Map<string, number>();
    readonly failures = new Map<string, number>();
    readonly repeats = new Map<string, number>();
    readonly runRefusals = new Map<string, number>();

    countRequest(route: string): void {
        add(this.requests, route);
    }

    countRefused(reason: RefusalReason): void {
        add(this.refusals, reason);
    }

    countFailed(reason: FailureReason): void {
        add(this.failures, reason);
    }

    countRepeat(reason: RepeatReason): void {
        add(this.repeats, reason);
    }

    countRunRefused(reason: RefusalReason): void {
        add(this.runRefusals, reason);
    }
}

function add(counts: Map<string, number>, key: string): void {
    counts.set(key, (counts.get(key) ?? 0) + 1);
}
