/** Sends admitted runs to the local target and its answers back to their requesters. */
import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { Effect } from "./effects.ts";
import type { EventBody } from "./events.ts";
import type { HttpRequest, RunReply } from "./exchanges.ts";
import { baggageWithKind, passedHeaders, traceparent } from "./headers.ts";
import type { HttpClients } from "./httpClients.ts";
import { isConnectFailure } from "./httpClients.ts";
import type { CallContext, RecordedAnswer } from "./types.ts";
import { notRun, unknown } from "./types.ts";

type EffectOf<T extends Effect["type"]> = Extract<Effect, { readonly type: T; }>;

/** Answers up to this size are kept for resends of a non-idempotent request. */
const RECORD_LIMIT_BYTES = 16 * 1024;
/** Bound on connections to the local target; admission keeps the number in use far lower. */
const TARGET_CONNECTIONS = 2_048;

interface RunExchange {
    readonly ctx: CallContext;
    readonly req: HttpRequest;
    readonly reply: RunReply;
    readonly abort: AbortController;
    response?: Dispatcher.ResponseData;
}

export interface RunExchangesOptions {
    readonly clients: HttpClients;
    readonly dispatch: (event: EventBody) => void;
    readonly spanId: () => string;
}

export class RunExchanges {
    private readonly exchanges = new Map<number, RunExchange>();
    private readonly opts: RunExchangesOptions;
    private nextId = 1;

    constructor(opts: RunExchangesOptions) {
        this.opts = opts;
    }

    /** Takes a request for the local target and returns the id of its run. */
    start(ctx: CallContext, req: HttpRequest, reply: RunReply, fingerprint: string): number {
        const run = this.nextId++;
        this.exchanges.set(run, { ctx, req, reply, abort: new AbortController() });
        this.opts.dispatch({ type: "run_started", run, ctx, fingerprint });
        return run;
    }

    forward(effect: EffectOf<"forward_run">): void {
        const exchange = this.exchanges.get(effect.run);
        if (exchange === undefined) return;
        this.exchange(exchange, effect).catch((err: unknown) => {
            const failed = unknown(exchange.abort.signal.aborted ? "cancelled" : "target-crashed");
            const outcome = isConnectFailure(err) ? notRun("target-down") : failed;
            if (isConnectFailure(err)) this.opts.dispatch({ type: "target_lost" });
            this.opts.dispatch({ type: "run_ended", run: effect.run, outcome });
            this.exchanges.delete(effect.run);
        });
    }

    private async exchange(exchange: RunExchange, effect: EffectOf<"forward_run">): Promise<void> {
        const { ctx, req } = exchange;
        const headers = passedHeaders(req.headers);
        headers["traceparent"] = traceparent(ctx.requestId, this.opts.spanId());
        headers["baggage"] = baggageWithKind(req.headers, ctx.kind);
        headers["fp-deadline-ms"] = String(Math.max(0, Math.floor(effect.deadlineMs)));
        if (ctx.key !== undefined) headers["idempotency-key"] = ctx.key;
        if (effect.startBefore !== undefined) headers["fp-start-before"] = String(effect.startBefore);
        const pool = this.opts.clients.pool(effect.target, TARGET_CONNECTIONS);
        const response = await pool.request({
            method: req.method,
            path: req.path,
            headers,
            body: req.body.length > 0 ? req.body : null,
            signal: exchange.abort.signal,
        });
        exchange.response = response;
        this.watchBody(exchange, effect, response);
        this.opts.dispatch({ type: "run_answered", run: effect.run, status: response.statusCode });
    }

    private watchBody(
        exchange: RunExchange,
        effect: EffectOf<"forward_run">,
        response: Dispatcher.ResponseData,
    ): void {
        const chunks: Buffer[] = [];
        let size = 0;
        if (effect.record) {
            response.body.on("data", (chunk: Buffer) => {
                size += chunk.length;
                if (size <= RECORD_LIMIT_BYTES) chunks.push(chunk);
            });
        }
        response.body.once("end", () => {
            const answer: RecordedAnswer | undefined = effect.record && size <= RECORD_LIMIT_BYTES
                ? {
                    status: response.statusCode,
                    contentType: String(response.headers["content-type"] ?? "application/octet-stream"),
                    body: Buffer.concat(chunks).toString("base64"),
                }
                : undefined;
            this.end(effect.run, {
                type: "run_ended",
                run: effect.run,
                outcome: { type: "ran", status: response.statusCode },
                answer,
            });
        });
        response.body.once("error", () => {
            this.end(effect.run, { type: "run_ended", run: effect.run, outcome: unknown("truncated") });
        });
    }

    private end(run: number, event: EventBody): void {
        if (this.exchanges.delete(run)) this.opts.dispatch(event);
    }

    relay(effect: EffectOf<"relay_run">): void {
        const exchange = this.exchanges.get(effect.run);
        if (exchange?.response === undefined) return;
        const { statusCode, headers, body } = exchange.response;
        exchange.reply.relay(
            { status: statusCode, headers: passedHeaders(headers), body },
            effect.retriesLeft,
            effect.load,
        );
    }

    refuse(effect: EffectOf<"refuse_run">): void {
        const exchange = this.exchanges.get(effect.run);
        this.exchanges.delete(effect.run);
        exchange?.reply.refuse(effect.outcome, effect.retriesLeft, effect.load);
    }

    replay(effect: EffectOf<"replay_run">): void {
        const exchange = this.exchanges.get(effect.run);
        this.exchanges.delete(effect.run);
        const { status, contentType, body } = effect.answer;
        const bytes = Buffer.from(body, "base64");
        exchange?.reply.relay(
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
        this.exchanges.get(run)?.abort.abort();
    }
}
