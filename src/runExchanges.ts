/** Target side of the data path: runs requests at the local target, and relays its responses to the requesters. */
import { Readable, Transform } from "node:stream";
import type { Effect } from "./effects.ts";
import type { EventBody } from "./events.ts";
import type { HttpRequest, RunResponder } from "./exchanges.ts";
import { baggageWithKind, forwardedHeaders, traceparent } from "./headers.ts";
import type { HttpClients } from "./httpClients.ts";
import { isMintedKey } from "./keys.ts";
import type { Outbound, OutboundResponse } from "./outbound.ts";
import { OutboundError, sendOutbound } from "./outbound.ts";
import type { CallContext, NotRun, RecordedResponse, Unknown } from "./types.ts";
import { notRun, unknown } from "./types.ts";

type EffectOf<T extends Effect["type"]> = Extract<Effect, { readonly type: T; }>;

/** Larger responses are not recorded, so they cannot be replayed when a non-idempotent request is retried. */
const MAX_RECORDED_RESPONSE_BYTES = 16 * 1024;
/** The concurrency limit keeps the number of connections in use far below this. */
const MAX_TARGET_CONNECTIONS = 2_048;

interface RunExchange {
    readonly ctx: CallContext;
    readonly req: HttpRequest;
    readonly responder: RunResponder;
    readonly startedAt: number;
    isCancelled: boolean;
    outbound?: Outbound;
    response?: OutboundResponse;
}

export interface RunExchangesOptions {
    readonly clients: HttpClients;
    readonly dispatch: (event: EventBody) => void;
    readonly spanId: () => string;
    readonly now: () => number;
    readonly observe: (phase: "run", latencyMs: number) => void;
}

export class RunExchanges {
    private readonly exchanges = new Map<number, RunExchange>();
    private readonly opts: RunExchangesOptions;
    private nextId = 1;

    constructor(opts: RunExchangesOptions) {
        this.opts = opts;
    }

    /**
     * Registers a run of a request at the local target, and returns the id of the run. The reducer then forwards,
     * replays or refuses the run.
     */
    start(ctx: CallContext, req: HttpRequest, responder: RunResponder, fingerprint: string): number {
        const run = this.nextId++;
        this.exchanges.set(run, {
            ctx,
            req,
            responder,
            startedAt: this.opts.now(),
            isCancelled: false,
        });
        this.opts.dispatch({ type: "run_started", run, ctx, fingerprint });
        return run;
    }

    forward(effect: EffectOf<"forward_run">): void {
        const exchange = this.exchanges.get(effect.run);
        if (exchange === undefined) {
            this.opts.dispatch({ type: "run_ended", run: effect.run, outcome: notRun("cancelled") });
            return;
        }
        const { startBefore } = effect;
        exchange.outbound = sendOutbound(this.opts.clients.pool(effect.target, MAX_TARGET_CONNECTIONS), {
            method: exchange.req.method,
            path: exchange.req.path,
            headers: this.headersFor(exchange, effect),
            body: exchange.req.stream ?? exchange.req.body,
            mayStart: () => startBefore === undefined || this.opts.now() < startBefore,
        });
        exchange.outbound.response.then(
            response => this.onResponse(exchange, effect, response),
            (err: unknown) => this.onFailure(exchange, effect, err),
        );
    }

    private headersFor({ ctx, req }: RunExchange, effect: EffectOf<"forward_run">): Record<
        string,
        string | string[]
    > {
        const headers = forwardedHeaders(req.headers);
        headers["traceparent"] = traceparent(ctx.requestId, this.opts.spanId());
        headers["baggage"] = baggageWithKind(req.headers, ctx.kind);
        headers["fp-deadline-ms"] = String(Math.max(0, Math.floor(effect.deadlineMs)));
        // Only a minted key is added. A key that the caller supplied is among the forwarded headers.
        if (ctx.key !== undefined && isMintedKey(ctx.key)) headers["idempotency-key"] = ctx.key;
        if (effect.startBefore !== undefined) headers["fp-start-before"] = String(effect.startBefore);
        return headers;
    }

    private onFailure(exchange: RunExchange, effect: EffectOf<"forward_run">, err: unknown): void {
        // Errors of other types do not tell whether a part of the request was written.
        const isWritten = !(err instanceof OutboundError) || err.isWritten;
        // `startBefore` is the end of the lease under which this node may run the request.
        const isLeaseExpired = effect.startBefore !== undefined && this.opts.now() >= effect.startBefore;
        const isTargetLost = !isWritten && !isLeaseExpired && !exchange.isCancelled;
        if (isTargetLost) this.opts.dispatch({ type: "target_lost" });
        this.end(effect.run, {
            type: "run_ended",
            run: effect.run,
            outcome: outcomeOfFailure(exchange.isCancelled, isWritten, isLeaseExpired),
        });
    }

    private onResponse(
        exchange: RunExchange,
        effect: EffectOf<"forward_run">,
        response: OutboundResponse,
    ): void {
        const { run } = effect;
        if (!isSelfDelimited(exchange.req.method, response)) {
            response.body.destroy();
            this.end(run, { type: "run_ended", run, outcome: unknown("truncated") });
            return;
        }
        const recorder = effect.recordResponse ? new ResponseRecorder(response) : undefined;
        const body = recorder === undefined ? response.body : recorder.body;
        exchange.response = { status: response.status, headers: forwardedHeaders(response.headers), body };
        // A recorder finishes when it has received the whole response, even if the requester has not read all of it.
        body.once(recorder === undefined ? "end" : "finish", () => {
            this.end(run, {
                type: "run_ended",
                run,
                outcome: { type: "ran", status: response.status },
                response: recorder?.recordedResponse(),
            });
            this.opts.observe("run", this.opts.now() - exchange.startedAt);
        });
        // Has no effect after a complete response, because `end` reports only the first end.
        body.once("close", () => {
            const reason = exchange.isCancelled ? "cancelled" : "truncated";
            this.end(run, { type: "run_ended", run, outcome: unknown(reason) });
        });
        this.opts.dispatch({ type: "run_answered", run, status: response.status });
    }

    /**
     * Reports the end of a run, at most once. The exchange is removed after the dispatch, because the reducer may
     * refuse the run as a result of the event.
     */
    private end(run: number, event: EventBody): void {
        const exchange = this.exchanges.get(run);
        if (exchange === undefined) return;
        this.opts.dispatch(event);
        this.exchanges.delete(run);
    }

    relay(effect: EffectOf<"relay_run">): void {
        const exchange = this.exchanges.get(effect.run);
        if (exchange?.response === undefined) return;
        exchange.responder.relay(exchange.response, effect.retriesLeft, effect.load);
    }

    refuse(effect: EffectOf<"refuse_run">): void {
        const exchange = this.exchanges.get(effect.run);
        this.exchanges.delete(effect.run);
        exchange?.responder.reportOutcome(effect.outcome, effect.retriesLeft, effect.load);
    }

    replay(effect: EffectOf<"replay_run">): void {
        const exchange = this.exchanges.get(effect.run);
        this.exchanges.delete(effect.run);
        const { status, contentType, body } = effect.response;
        const bytes = Buffer.from(body, "base64");
        exchange?.responder.relay(
            {
                status,
                headers: { "content-type": contentType, "content-length": String(bytes.length) },
                body: Readable.from([bytes]),
            },
            effect.retriesLeft,
            effect.load,
        );
    }

    cancel(run: number): void {
        const exchange = this.exchanges.get(run);
        if (exchange === undefined) return;
        exchange.isCancelled = true;
        exchange.outbound?.cancel();
    }

    /**
     * Cancels a run whose requester has disconnected. If nothing was sent to the target, no response or failure will
     * remove the exchange, so it is removed here.
     */
    abandon(run: number): void {
        this.opts.dispatch({ type: "run_cancelled", run });
        if (this.exchanges.get(run)?.outbound === undefined) this.exchanges.delete(run);
    }
}

function outcomeOfFailure(
    isCancelled: boolean,
    isWritten: boolean,
    isLeaseExpired: boolean,
): NotRun | Unknown {
    if (isCancelled) return isWritten ? unknown("cancelled") : notRun("cancelled");
    if (isWritten) return unknown("target-crashed");
    return notRun(isLeaseExpired ? "no-proof" : "target-down");
}

/**
 * Whether the end of a response can be told from a lost connection. A response that is delimited by the close of
 * its connection looks complete even if the target crashes in the middle of it.
 */
function isSelfDelimited(method: string, { status, headers }: OutboundResponse): boolean {
    return method === "HEAD" || status === 204 || status === 304
        || headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}

/** Records a response of limited size while it is relayed. */
class ResponseRecorder {
    readonly body: Readable;
    private readonly response: OutboundResponse;
    private readonly chunks: Buffer[] = [];
    private size = 0;

    constructor(response: OutboundResponse) {
        this.response = response;
        const copy = new Transform({
            transform: (chunk: Buffer, _encoding, done) => {
                this.size += chunk.length;
                if (this.size <= MAX_RECORDED_RESPONSE_BYTES) this.chunks.push(chunk);
                done(undefined, chunk);
            },
        });
        copy.on("error", () => undefined);
        response.body.once("error", err => copy.destroy(err));
        copy.once("close", () => response.body.destroy());
        this.body = response.body.pipe(copy);
    }

    /** The recorded response; undefined if it is too large. */
    recordedResponse(): RecordedResponse | undefined {
        if (this.size > MAX_RECORDED_RESPONSE_BYTES) return undefined;
        return {
            status: this.response.status,
            contentType: String(this.response.headers["content-type"] ?? "application/octet-stream"),
            body: Buffer.concat(this.chunks).toString("base64"),
        };
    }
}
