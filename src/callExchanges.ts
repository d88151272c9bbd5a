/** The caller side of the data path: sends attempts to nodes and their answers to callers. */
import type { Dispatcher } from "undici";
import type { Effect } from "./effects.ts";
import type { CallStarted, EventBody } from "./events.ts";
import type { CallReply, HttpAnswer, HttpRequest, RunReply } from "./exchanges.ts";
import { fingerprintOf } from "./exchanges.ts";
import { loadOf, outcomeOf, passedHeaders, retriesLeftOf } from "./headers.ts";
import type { HttpClients } from "./httpClients.ts";
import { isConnectFailure } from "./httpClients.ts";
import type { RunExchanges } from "./runExchanges.ts";
import { notRun, unknown } from "./types.ts";

type EffectOf<T extends Effect["type"]> = Extract<Effect, { readonly type: T; }>;

interface AttemptExchange {
    cancel(): void;
    answer?: HttpAnswer;
}

interface CallExchange {
    readonly req: HttpRequest;
    readonly reply: CallReply;
    readonly service: string;
    readonly requestId: string;
    readonly attempts: Map<number, AttemptExchange>;
}

export interface CallExchangesOptions {
    readonly selfId: string;
    readonly clients: HttpClients;
    readonly runs: RunExchanges;
    readonly dispatch: (event: EventBody) => void;
}

export type NewCall = Omit<CallStarted, "type" | "call" | "fingerprint">;

export class CallExchanges {
    private readonly exchanges = new Map<number, CallExchange>();
    private readonly opts: CallExchangesOptions;
    private nextId = 1;

    constructor(opts: CallExchangesOptions) {
        this.opts = opts;
    }

    /** Takes a request from a caller and returns the id of its call. */
    start(call: NewCall, req: HttpRequest, reply: CallReply): number {
        const id = this.nextId++;
        const { service, requestId } = call;
        this.exchanges.set(id, { req, reply, service, requestId, attempts: new Map() });
        this.opts.dispatch({
            ...call,
            type: "call_started",
            call: id,
            fingerprint: fingerprintOf(service, req),
        });
        return id;
    }

    send(effect: EffectOf<"send_attempt">): void {
        const exchange = this.exchanges.get(effect.call);
        if (exchange === undefined) return;
        if (effect.member.id === this.opts.selfId) this.sendToSelf(exchange, effect);
        else this.sendToPeer(exchange, effect);
    }

    private sendToSelf(exchange: CallExchange, effect: EffectOf<"send_attempt">): void {
        const { call, attempt } = effect;
        const pending: AttemptExchange = { cancel: () => undefined };
        exchange.attempts.set(attempt, pending);
        const reply: RunReply = {
            relay: (answer, retriesLeft, load) => {
                pending.answer = answer;
                const outcome = { type: "ran", status: answer.status } as const;
                this.opts.dispatch({ type: "attempt_answered", call, attempt, outcome, retriesLeft, load });
            },
            refuse: (outcome, retriesLeft, load) => {
                this.opts.dispatch({ type: "attempt_answered", call, attempt, outcome, retriesLeft, load });
            },
        };
        const run = this.opts.runs.start(
            effect.ctx,
            exchange.req,
            reply,
            fingerprintOf(exchange.service, exchange.req),
        );
        pending.cancel = () => this.opts.dispatch({ type: "run_cancelled", run });
    }

    private sendToPeer(exchange: CallExchange, effect: EffectOf<"send_attempt">): void {
        const { call, attempt } = effect;
        const abort = new AbortController();
        const pending: AttemptExchange = { cancel: () => abort.abort() };
        exchange.attempts.set(attempt, pending);
        this.opts.clients.pool(effect.member.address, effect.connections).request({
            method: exchange.req.method,
            path: `/run${exchange.req.path}`,
            headers: { ...passedHeaders(exchange.req.headers), "fp-call": JSON.stringify(effect.ctx) },
            body: exchange.req.body.length > 0 ? exchange.req.body : null,
            signal: abort.signal,
        }).then(
            response => this.onAnswer(pending, effect, response),
            (err: unknown) => {
                const outcome = isConnectFailure(err) ? notRun("connect-failed") : unknown("connection-lost");
                const retriesLeft = outcome.type === "not-run" ? effect.ctx.retries : 0;
                this.opts.dispatch({ type: "attempt_answered", call, attempt, outcome, retriesLeft });
            },
        );
    }

    private onAnswer(
        pending: AttemptExchange,
        effect: EffectOf<"send_attempt">,
        response: Dispatcher.ResponseData,
    ): void {
        const { call, attempt } = effect;
        const outcome = outcomeOf(response.statusCode, response.headers);
        const retriesLeft = retriesLeftOf(response.headers);
        const load = loadOf(response.headers);
        if (outcome.type === "ran") {
            pending.answer = {
                status: response.statusCode,
                headers: passedHeaders(response.headers),
                body: response.body,
            };
        }
        else {
            response.body.resume();
            response.body.once("error", () => undefined);
        }
        this.opts.dispatch({ type: "attempt_answered", call, attempt, outcome, retriesLeft, load });
    }

    relay(effect: EffectOf<"relay_answer">): void {
        const { call, attempt } = effect;
        const exchange = this.exchanges.get(call);
        const answer = exchange?.attempts.get(attempt)?.answer;
        if (exchange === undefined || answer === undefined) return;
        exchange.reply.relay(answer, complete => {
            this.exchanges.delete(call);
            this.opts.dispatch({ type: "attempt_closed", call, attempt, complete });
        });
    }

    refuse(effect: EffectOf<"refuse_call">): void {
        const exchange = this.exchanges.get(effect.call);
        this.exchanges.delete(effect.call);
        exchange?.reply.refuse(effect.outcome, exchange.requestId);
    }

    cancelAttempt(effect: EffectOf<"cancel_attempt">): void {
        this.exchanges.get(effect.call)?.attempts.get(effect.attempt)?.cancel();
    }

    /** The caller of a call has gone. */
    abandon(call: number): void {
        if (!this.exchanges.has(call)) return;
        this.opts.dispatch({ type: "call_cancelled", call });
        this.exchanges.delete(call);
    }
}
