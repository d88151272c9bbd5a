/** Logs the decisions about requests that run, or are to run, at the local target. */
import type { EventLog, LogFields } from "./eventLog.ts";
import type { ForwardedRequest, LoadReport, Outcome, RefusalReason } from "./types.ts";

/** The fields of a run that the log needs; times in ms. */
export interface LoggedRun {
    readonly req: ForwardedRequest;
    /** Whether every step of this request is logged. */
    readonly isTraced: boolean;
    readonly arrivedAt: number;
    /** 0 while the run waits for a slot. */
    readonly startedAt: number;
}

export class RunLog {
    constructor(private readonly log: EventLog, private readonly loadReport: () => LoadReport) {}

    queued(run: LoggedRun, now: number, expectedWaitMs: number): void {
        if (!run.isTraced) return;
        this.log.traceStep("run-queued", {
            expectedWaitMs: Math.round(expectedWaitMs),
            ...this.fields(run, now),
        });
    }

    started(run: LoggedRun, now: number): void {
        if (run.isTraced) this.log.traceStep("run-started", this.fields(run, now));
    }

    refused(run: LoggedRun, now: number, reason: RefusalReason): void {
        this.logDecision("run-refused", run, { reason, ...this.fields(run, now) });
    }

    /** `detail`: why the response was unusable, if it was. */
    ended(run: LoggedRun, now: number, outcome: Outcome, detail?: string): void {
        const hasFailed = outcome.kind !== "answer" || outcome.status >= 500;
        if (!hasFailed && !run.isTraced) return;
        const result = outcome.kind === "answer"
            ? { status: outcome.status }
            : { reason: outcome.reason, detail };
        this.logDecision("run-ended", run, { ...result, ...this.fields(run, now) });
    }

    cancelled(run: LoggedRun, now: number): void {
        this.logDecision("run-cancelled", run, this.fields(run, now));
    }

    limitChanged(limit: number, previous: number, target: string | undefined): void {
        this.log.event("limit-learned", { target, limit, previous });
    }

    private logDecision(kind: string, run: LoggedRun, fields: LogFields): void {
        if (run.isTraced) this.log.traceStep(kind, fields);
        else this.log.event(kind, fields);
    }

    private fields({ req, arrivedAt, startedAt }: LoggedRun, now: number): LogFields {
        const { cutoff, running, queued, limit } = this.loadReport();
        const isStarted = startedAt > 0;
        return {
            id: req.requestId,
            service: req.service,
            level: req.level,
            cutoff,
            running,
            queued,
            limit,
            waitedMs: Math.round((isStarted ? startedAt : now) - arrivedAt),
            atTargetMs: isStarted ? Math.round(now - startedAt) : undefined,
        };
    }
}
