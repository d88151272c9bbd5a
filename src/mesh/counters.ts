/** Counters of the data plane: plain numbers on the request path, turned into metrics only when they are read. */
import type { FailureReason, RefusalReason, RepeatReason } from "./types.ts";

export class Counters {
    readonly requests = new Map<string, number>();
    readonly refusals = new Map<string, number>();
    readonly failures = new Map<string, number>();
    readonly repeats = new Map<string, number>();
    readonly runRefusals = new Map<string, number>();
    /** Requests of clients, without the calls of targets. */
    clientRequests = 0;
    clientRefusals = 0;
    /** Answers to clients with a status below 500. */
    clientServed = 0;
    runsStarted = 0;
    /** Time that started runs have waited for a slot, ms. */
    runsWaitedMs = 0;
    /** Time that ended runs have used a slot, ms. */
    slotMs = 0;

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
