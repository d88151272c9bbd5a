/**
 * Logs one line per second with the load of the local target and the outcomes of this node's client requests. Idle
 * seconds are logged too: to explain a refusal, an operator needs the capacity that was free at that moment on all
 * nodes.
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

    /** Called about once a second. The counts cover the time since the previous call, logged as `overMs`. */
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
