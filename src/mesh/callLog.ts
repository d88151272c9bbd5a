/**
 * Logs the decisions about each call at the node that received it. Refusals, failures, 5xx responses, retries and
 * cancellations are always logged, within the log's rate limits; all other steps are logged only for traced requests.
 * The event names are part of the log format and differ from the terms of the code: an attempt is logged as `sent`, a
 * retry as `repeated`, a transparent retry as `redirected`, and a response as `answered`.
 */
import type { Call } from "./call.ts";
import { steadyNow } from "./clock.ts";
import type { EventLog, LogFields } from "./eventLog.ts";
import type { FailureReason, RefusalReason, RetryReason } from "./types.ts";

export interface CallLogOptions {
    readonly log: EventLog;
    readonly configVersion: () => number | undefined;
}

export class CallLog {
    private readonly log: EventLog;

    constructor(private readonly options: CallLogOptions) {
        this.log = options.log;
    }

    admitted(call: Call): void {
        if (call.isTraced) this.log.traceStep("admitted", this.fields(call));
    }

    attemptStarted(call: Call): void {
        if (call.isTraced) this.log.traceStep("sent", this.fields(call));
    }

    retriedTransparently(call: Call, reason: RefusalReason | undefined): void {
        if (call.isTraced) this.log.traceStep("redirected", { reason, ...this.fields(call) });
    }

    retried(call: Call, reason: RetryReason): void {
        this.logDecision("repeated", call, { reason });
    }

    /** The call could have been retried, but no untried target was left or the retry budget was used up. */
    notRetried(call: Call, reason: RetryReason): void {
        this.logDecision("not-repeated", call, { reason });
    }

    refused(call: Call, reason: RefusalReason, cutoff: number | undefined): void {
        this.logDecision("refused", call, { reason, cutoff });
    }

    /** A request without a valid key, which is refused before it becomes a call. */
    unauthorized(requestId: string, route: string): void {
        this.log.event("unauthorized", {
            id: requestId,
            route,
            configVersion: this.options.configVersion(),
        });
    }

    failed(call: Call, reason: FailureReason): void {
        this.logDecision("failed", call, { reason });
    }

    responded(call: Call, status: number): void {
        if (status >= 500) this.logDecision("answered", call, { status });
        else if (call.isTraced) this.log.traceStep("answered", { status, ...this.fields(call) });
    }

    cancelled(call: Call): void {
        this.logDecision("cancelled", call, {});
    }

    private logDecision(kind: string, call: Call, details: LogFields): void {
        const fields = { ...details, ...this.fields(call) };
        if (call.isTraced) this.log.traceStep(kind, fields);
        else this.log.event(kind, fields);
    }

    private fields(call: Call): LogFields {
        const now = steadyNow();
        return {
            id: call.req.head.requestId,
            parent: call.parent?.req.requestId,
            account: call.account?.name,
            route: call.route.name,
            service: call.service,
            level: call.level,
            sends: call.attempts,
            redirects: call.refusedAttempts,
            last: call.triedNodes.at(-1)?.record.name,
            configVersion: this.options.configVersion(),
            tookMs: Math.round(now - call.startedAt),
            leftMs: Math.round(call.deadlineAt - now),
        };
    }
}
