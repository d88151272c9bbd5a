/**
 * One log line a second with what the target beside this node did and what became of clients' requests here. Refusals
 * are explained by what targets had free at the same moment, on this node and on others, so idle seconds are told too.
 */
import type { Counters } from "./counters.ts";
import type { EventLog } from "./eventLog.ts";
import type { LoadReport, TargetRecord } from "./types.ts";

export interface LoadLogOptions {
    readonly log: EventLog;
    readonly counters: Counters;
    readonly loadReport: () => LoadReport;
}

type Totals = Pick<
    Counters,
    | "clientRequests"
    | "clientRefusals"
    | "clientServed"
    | "runsStarted"
    | "runsWaitedMs"
    | "slotMs"
>;

export class LoadLog {
    private last: Totals;
    private lastAt: number | undefined;

    constructor(private readonly options: LoadLogOptions) {
        this.last = totalsOf(options.counters);
    }

    /** Called about once a second. Counts are of the time since the line before, `overMs`. */
    write(now: number, target: TargetRecord | undefined): void {
        const totals = totalsOf(this.options.counters);
        const { last, lastAt } = this;
        this.last = totals;
        this.lastAt = now;
        if (lastAt === undefined) return;
        const { cutoff, running, queued, limit, serviceMs } = this.options.loadReport();
        const started = totals.runsStarted - last.runsStarted;
        const waitedMs = totals.runsWaitedMs - last.runsWaitedMs;
        this.options.log.unlimitedEvent("load", {
            service: target?.service,
            target: target?.id,
            state: target?.state,
            cutoff,
            running,
            queued,
            limit,
            serviceMs: Math.round(serviceMs * 10) / 10,
            started,
            meanWaitMs: started === 0 ? 0 : Math.round(waitedMs / started),
            slotMs: Math.round(totals.slotMs - last.slotMs),
            requests: totals.clientRequests - last.clientRequests,
            served: totals.clientServed - last.clientServed,
            refused: totals.clientRefusals - last.clientRefusals,
            overMs: Math.round(now - lastAt),
        });
    }
}

function totalsOf(counters: Counters): Totals {
    const { clientRequests, clientRefusals, clientServed, runsStarted, runsWaitedMs, slotMs } = counters;
    return { clientRequests, clientRefusals, clientServed, runsStarted, runsWaitedMs, slotMs };
}
