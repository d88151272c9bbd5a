/**
 * Baseline reducers for comparison: no control with retries at each layer, and a static concurrency limit with
 * a per-hop retry budget. They know all nodes from the start and share nothing with the product's decisions.
 */
import type { Effect } from "../src/effects.ts";
import type { EventOf, NodeEvent } from "../src/events.ts";
import type { NodeState } from "../src/state.ts";
import type { Kind, LoadReport, Member, Outcome } from "../src/types.ts";
import { notRun, unknown } from "../src/types.ts";
import type { Reduce } from "../test/fakes/world.ts";

export interface BaselineOptions {
    readonly kinds: readonly Kind[];
    readonly members: () => readonly Member[];
    /** Requests in progress at a target of a service: a set limit, or the connections that it accepts. */
    readonly limitOf: (service: string) => number;
    readonly queueLimit?: number;
    readonly retries: number;
    /** Retries allowed for each success of a service seen by a node; unlimited if undefined. */
    readonly budget?: number;
}

interface BaselineCall {
    readonly started: EventOf<"call_started">;
    readonly kind: Kind;
    readonly attempts: number;
    readonly sentAt: number;
}

/** Mutable per node: a baseline is not part of the product, and its speed bounds the length of the table. */
interface Baseline {
    readonly calls: Map<number, BaselineCall>;
    readonly waiting: Map<number, EventOf<"run_started">>;
    readonly forwarded: Set<number>;
    readonly tokens: Map<string, number>;
    nextWake: number;
}

const QUEUE_LIMIT = 64;
const FIRST_TOKENS = 10;
const CHECK_PERIOD_MS = 200;
const NO_LOAD: LoadReport = { level: 1_023, inFlight: 0, limit: 0 };

export function createBaseline(opts: BaselineOptions): Reduce {
    const baselines = new Map<string, Baseline>();
    return (state, event) => {
        let own = baselines.get(state.self.id);
        if (own === undefined) {
            own = {
                calls: new Map(),
                waiting: new Map(),
                forwarded: new Set(),
                tokens: new Map(),
                nextWake: 0,
            };
            baselines.set(state.self.id, own);
        }
        return { state, effects: effectsOf(state, event, own, opts) };
    };
}

function effectsOf(
    state: NodeState,
    event: NodeEvent,
    own: Baseline,
    opts: BaselineOptions,
): readonly Effect[] {
    switch (event.type) {
        case "call_started": {
            const kind = opts.kinds.find(found => found.name === event.kind)!;
            own.calls.set(event.call, { started: event, kind, attempts: 0, sentAt: event.now });
            return send(event.call, event, own, opts);
        }
        case "attempt_answered":
            return onAnswered(event, own, opts);
        case "attempt_closed":
            own.calls.delete(event.call);
            return [];
        case "run_started":
            return onRun(state, event, own, opts);
        case "run_answered":
            return [{ type: "relay_run", run: event.run, retriesLeft: 0, load: NO_LOAD }];
        case "run_ended": {
            own.forwarded.delete(event.run);
            const refused: Effect[] = event.outcome.type === "ran"
                ? []
                : [refuseRun(event.run, event.outcome)];
            return [...refused, ...startWaiting(state, own, event.now, opts)];
        }
        case "run_cancelled":
            own.waiting.delete(event.run);
            return [];
        case "wake":
            return onWake(event, own, opts);
        default:
            return [];
    }
}

function send(
    call: number,
    stamp: { readonly now: number; readonly rand: number; },
    own: Baseline,
    opts: BaselineOptions,
): readonly Effect[] {
    const found = own.calls.get(call)!;
    const members = opts.members().filter(member => member.service === found.started.service);
    const member = members[Math.floor(stamp.rand * members.length)]!;
    own.calls.set(call, { ...found, attempts: found.attempts + 1, sentAt: stamp.now });
    return [
        {
            type: "send_attempt",
            call,
            attempt: found.attempts,
            member,
            ctx: {
                requestId: found.started.requestId,
                kind: found.kind.name,
                deadlineMs: found.kind.deadlineMs,
                retries: 0,
                depth: 1,
                sender: "",
            },
            maxConnections: 1_000,
        },
        ...scheduleWake(own, stamp.now),
    ];
}

function scheduleWake(own: Baseline, now: number): readonly Effect[] {
    if (own.nextWake > now) return [];
    own.nextWake = now + CHECK_PERIOD_MS;
    return [{ type: "wake_at", at: own.nextWake }];
}

function onAnswered(
    event: EventOf<"attempt_answered">,
    own: Baseline,
    opts: BaselineOptions,
): readonly Effect[] {
    const call = own.calls.get(event.call);
    if (call?.attempts !== event.attempt + 1) return [];
    const { service } = call.started;
    if (event.outcome.type !== "ran" || event.outcome.status >= 500) {
        return retry(event.call, event, event.outcome, own, opts);
    }
    own.tokens.set(service, (own.tokens.get(service) ?? FIRST_TOKENS) + (opts.budget ?? 0));
    return [{ type: "relay_answer", call: event.call, attempt: event.attempt }];
}

function retry(
    id: number,
    stamp: { readonly now: number; readonly rand: number; },
    outcome: Outcome,
    own: Baseline,
    opts: BaselineOptions,
): readonly Effect[] {
    const call = own.calls.get(id)!;
    const { service } = call.started;
    const tokens = own.tokens.get(service) ?? FIRST_TOKENS;
    const expired = stamp.now >= call.started.now + call.kind.deadlineMs;
    if (expired || call.attempts > opts.retries || (opts.budget !== undefined && tokens < 1)) {
        own.calls.delete(id);
        return [{
            type: "refuse_call",
            call: id,
            outcome: outcome.type === "ran" ? unknown("connection-lost") : outcome,
        }];
    }
    if (opts.budget !== undefined) own.tokens.set(service, tokens - 1);
    return send(id, stamp, own, opts);
}

/** An attempt times out after half of the kind's deadline, and is then repeated; it is not cancelled. */
function onWake(event: EventOf<"wake">, own: Baseline, opts: BaselineOptions): readonly Effect[] {
    const effects: Effect[] = [];
    for (const [id, call] of own.calls) {
        const late = event.now >= call.sentAt + call.kind.deadlineMs / 2;
        const expired = event.now >= call.started.now + call.kind.deadlineMs;
        if (late || expired) effects.push(...retry(id, event, unknown("deadline"), own, opts));
    }
    if (own.calls.size > 0) effects.push(...scheduleWake(own, event.now));
    return effects;
}

function onRun(
    state: NodeState,
    event: EventOf<"run_started">,
    own: Baseline,
    opts: BaselineOptions,
): readonly Effect[] {
    own.waiting.set(event.run, event);
    const effects = startWaiting(state, own, event.now, opts);
    if (own.waiting.size <= (opts.queueLimit ?? QUEUE_LIMIT)) return effects;
    own.waiting.delete(event.run);
    return [...effects, refuseRun(event.run, notRun("over-limit"))];
}

function refuseRun(run: number, outcome: Exclude<Outcome, { readonly type: "ran"; }>): Effect {
    return { type: "refuse_run", run, outcome, retriesLeft: 0, load: NO_LOAD };
}

function startWaiting(
    state: NodeState,
    own: Baseline,
    now: number,
    opts: BaselineOptions,
): readonly Effect[] {
    const effects: Effect[] = [];
    const limit = opts.limitOf(state.self.service);
    for (const [run, event] of own.waiting) {
        if (own.forwarded.size >= limit) break;
        own.waiting.delete(run);
        if (now >= event.now + event.ctx.deadlineMs) {
            effects.push(refuseRun(run, notRun("queue-timeout")));
            continue;
        }
        own.forwarded.add(run);
        effects.push({
            type: "forward_run",
            run,
            target: state.self.address,
            deadlineMs: event.ctx.deadlineMs,
            recordResponse: false,
        });
    }
    return effects;
}
