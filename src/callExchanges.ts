/** Caller side of the data path: sends attempts to nodes, and relays their responses to the callers. */
import type { Effect } from "./effects.ts";
import type { CallStarted, EventBody } from "./events.ts";
import type { CallResponder, HttpRequest, HttpResponse, RunResponder } from "./exchanges.ts";
import { fingerprintOf } from "./exchanges.ts";
import { forwardedHeaders, loadOf, outcomeOf, retriesLeftOf } from "./headers.ts";
import type { HttpClients } from "./httpClients.ts";
import type { OutboundResponse } from "./outbound.ts";
import { OutboundError, sendOutbound } from "./outbound.ts";
import type { PeerAuth } from "./peerAuth.ts";
import { runSignatureParts, SIGNATURE_HEADER } from "./peerAuth.ts";
import type { RunExchanges } from "./runExchanges.ts";
import { notRun, unknown } from "./types.ts";

type EffectOf<T extends Effect["type"]> = Extract<Effect, { readonly type: T; }>;

interface AttemptExchange {
    cancel(): void;
    response?: HttpResponse;
}

interface CallExchange {
    readonly req: HttpRequest;
    readonly fingerprint: string;
    readonly responder: CallResponder;
    readonly requestId: string;
    readonly startedAt: number;
    readonly attempts: Map<number, AttemptExchange>;
}

export interface CallExchangesOptions {
    readonly selfId: string;
    readonly clients: HttpClients;
    readonly runs: RunExchanges;
    readonly auth: PeerAuth;
    readonly dispatch: (event: EventBody) => void;
    readonly now: () => number;
    readonly observe: (phase: "call" | "refusal", latencyMs: number) => void;
}

/** A call as a listener received it. `start` adds its id and its fingerprint. */
export type NewCall = Omit<CallStarted, "type" | "call" | "fingerprint">;

export class CallExchanges {
    private readonly exchanges = new Map<number, CallExchange>();
    private readonly opts: CallExchangesOptions;
    private nextId = 1;

    constructor(opts: CallExchangesOptions) {
        this.opts = opts;
    }

    /** Starts a call for a request of a caller, and returns the id of the call. */
    start(call: NewCall, req: HttpRequest, responder: CallResponder): number {
        const id = this.nextId++;
        const { service, requestId } = call;
        const fingerprint = fingerprintOf(service, req);
        const startedAt = this.opts.now();
        this.exchanges.set(id, { req, fingerprint, responder, requestId, startedAt, attempts: new Map() });
        this.opts.dispatch({ ...call, type: "call_started", call: id, fingerprint });
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
        const responder: RunResponder = {
            relay: (response, retriesLeft, load) => {
                pending.response = response;
                if (!this.exchanges.has(call)) response.body.destroy();
                const outcome = { type: "ran", status: response.status } as const;
                this.opts.dispatch({ type: "attempt_answered", call, attempt, outcome, retriesLeft, load });
            },
            reportOutcome: (outcome, retriesLeft, load) => {
                this.opts.dispatch({ type: "attempt_answered", call, attempt, outcome, retriesLeft, load });
            },
        };
        const run = this.opts.runs.start(effect.ctx, exchange.req, responder, exchange.fingerprint);
        pending.cancel = () => this.opts.runs.abandon(run);
    }

    private sendToPeer(exchange: CallExchange, effect: EffectOf<"send_attempt">): void {
        const { call, attempt, member } = effect;
        const { req } = exchange;
        const context = JSON.stringify(effect.ctx);
        const headers = { ...forwardedHeaders(req.headers), "fp-call": context };
        const signature = this.opts.auth.sign(runSignatureParts(member.address, context, req));
        const outbound = sendOutbound(this.opts.clients.pool(member.address, effect.maxConnections), {
            method: req.method,
            path: `/run${req.path}`,
            headers: signature === undefined ? headers : { ...headers, [SIGNATURE_HEADER]: signature },
            body: req.stream ?? req.body,
        });
        const pending: AttemptExchange = { cancel: () => outbound.cancel() };
        exchange.attempts.set(attempt, pending);
        outbound.response.then(
            response => this.onResponse(pending, effect, response),
            (err: unknown) => {
                const neverSent = err instanceof OutboundError && !err.isWritten;
                const outcome = neverSent ? notRun("connect-failed") : unknown("connection-lost");
                const retriesLeft = neverSent ? effect.ctx.retries : 0;
                this.opts.dispatch({ type: "attempt_answered", call, attempt, outcome, retriesLeft });
            },
        );
    }

    private onResponse(
        pending: AttemptExchange,
        effect: EffectOf<"send_attempt">,
        response: OutboundResponse,
    ): void {
        const { call, attempt } = effect;
        const outcome = outcomeOf(response.status, response.headers);
        const retriesLeft = retriesLeftOf(response.headers);
        const load = loadOf(response.headers);
        if (outcome.type !== "ran") response.body.resume();
        else if (!this.exchanges.has(call)) response.body.destroy();
        else {
            pending.response = {
                status: response.status,
                headers: forwardedHeaders(response.headers),
                body: response.body,
            };
        }
        this.opts.dispatch({ type: "attempt_answered", call, attempt, outcome, retriesLeft, load });
    }

    relay(effect: EffectOf<"relay_answer">): void {
        const { call, attempt } = effect;
        const exchange = this.exchanges.get(call);
        const response = exchange?.attempts.get(attempt)?.response;
        if (exchange === undefined || response === undefined) return;
        exchange.responder.relay(response, complete => {
            this.exchanges.delete(call);
            this.opts.observe("call", this.opts.now() - exchange.startedAt);
            this.opts.dispatch({ type: "attempt_closed", call, attempt, complete });
        });
    }

    refuse(effect: EffectOf<"refuse_call">): void {
        const exchange = this.exchanges.get(effect.call);
        this.exchanges.delete(effect.call);
        if (exchange === undefined) return;
        this.opts.observe("refusal", this.opts.now() - exchange.startedAt);
        exchange.responder.reportOutcome(effect.outcome, exchange.requestId);
    }

    cancelAttempt(effect: EffectOf<"cancel_attempt">): void {
        this.exchanges.get(effect.call)?.attempts.get(effect.attempt)?.cancel();
    }

    /** Cancels a call whose caller has disconnected. */
    abandon(call: number): void {
        if (!this.exchanges.has(call)) return;
        this.opts.dispatch({ type: "call_cancelled", call });
        this.exchanges.delete(call);
    }
}
