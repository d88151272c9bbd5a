/**
 * Baseline reducers for comparison: one without overload control and with retries at each service, and one with a
 * static concurrency limit and a retry budget at each hop. They know all nodes from the start, and share no decision
 * logic with the product.
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
    /** Maximum number of requests in flight at a target: a fixed limit, or the connections that it accepts. */
    readonly limitOf: (service: string) => number;
    readonly queueLimit?: number;
    /** Retries per call. */
    readonly retries: number;
    /** Retries that each successful response of a service adds to a node's budget; unlimited if undefined. */
    readonly budget?: number;
}

interface BaselineCall {
    readonly started: EventOf<"call_started">;
    readonly kind: Kind;
    readonly attempts: number;
    readonly sentAt: number;
}

/** State of a baseline for one node. It is mutable, because the cost of copies would limit the benchmark's size. */
interface Baseline {
    readonly calls: Map<number, BaselineCall>;
    readonly queue: Map<number, EventOf<"run_started">>;
    readonly forwarded: Set<number>;
    readonly tokens: Map<string, number>;
    nextWakeAt: number;
}

const QUEUE_LIMIT = 64;
const INITIAL_TOKENS = 10;
const CHECK_PERIOD_MS = 200;
const NO_LOAD: LoadReport = { level: 1_023, inFlight: 0, limit: 0 };

export function createBaseline(opts: BaselineOptions): Reduce {
    const baselines = new Map<string, Baseline>();
    return (state, event) => {
        let baseline = baselines.get(state.self.id);
        if (baseline === undefined) {
            baseline = {
                calls: new Map(),
                queue: new Map(),
                forwarded: new Set(),
                tokens: new Map(),
                nextWakeAt: 0,
            };
            baselines.set(state.self.id, baseline);
        }
        return { state, effects: effectsOf(state, event, baseline, opts) };
    };
}

function effectsOf(
    state: NodeState,
    event: NodeEvent,
    baseline: Baseline,
    opts: BaselineOptions,
): readonly Effect[] {
    switch (event.type) {
        case "call_started": {
            const kind = opts.kinds.find(found => found.name === event.kind)!;
            baseline.calls.set(event.call, { started: event, kind, attempts: 0, sentAt: event.now });
            return sendAttempt(event.call, event, baseline, opts);
        }
        case "attempt_answered":
            return onAttemptAnswered(event, baseline, opts);
        case "attempt_closed":
            baseline.calls.delete(event.call);
            return [];
        case "run_started":
            return onRunStarted(state, event, baseline, opts);
        case "run_answered":
            return [{ type: "relay_run", run: event.run, retriesLeft: 0, load: NO_LOAD }];
        case "run_ended": {
            baseline.forwarded.delete(event.run);
            const refused: Effect[] = event.outcome.type === "ran"
                ? []
                : [refuseRun(event.run, event.outcome)];
            return [...refused, ...startQueued(state, baseline, event.now, opts)];
        }
        case "run_cancelled":
            baseline.queue.delete(event.run);
            return [];
        case "wake":
            return onWake(event, baseline, opts);
        default:
            return [];
    }
}

function sendAttempt(
    call: number,
    stamp: { readonly now: number; readonly rand: number; },
    baseline: Baseline,
    opts: BaselineOptions,
): readonly Effect[] {
    const current = baseline.calls.get(call)!;
    const members = opts.members().filter(member => member.service === current.started.service);
    const member = members[Math.floor(stamp.rand * members.length)]!;
    baseline.calls.set(call, { ...current, attempts: current.attempts + 1, sentAt: stamp.now });
    return [
        {
            type: "send_attempt",
            call,
            attempt: current.attempts,
            member,
            ctx: {
                requestId: current.started.requestId,
                kind: current.kind.name,
                deadlineMs: current.kind.deadlineMs,
                retries: 0,
                depth: 1,
                sender: "",
            },
            maxConnections: 1_000,
        },
        ...scheduleWake(baseline, stamp.now),
    ];
}

function scheduleWake(baseline: Baseline, now: number): readonly Effect[] {
    if (baseline.nextWakeAt > now) return [];
    baseline.nextWakeAt = now + CHECK_PERIOD_MS;
    return [{ type: "wake_at", at: baseline.nextWakeAt }];
}

function onAttemptAnswered(
    event: EventOf<"attempt_answered">,
    baseline: Baseline,
    opts: BaselineOptions,
): readonly Effect[] {
    const call = baseline.calls.get(event.call);
    if (call?.attempts !== event.attempt + 1) return [];
    const { service } = call.started;
    if (event.outcome.type !== "ran" || event.outcome.status >= 500) {
        return retry(event.call, event, event.outcome, baseline, opts);
    }
    baseline.tokens.set(service, (baseline.tokens.get(service) ?? INITIAL_TOKENS) + (opts.budget ?? 0));
    return [{ type: "relay_answer", call: event.call, attempt: event.attempt }];
}

function retry(
    id: number,
    stamp: { readonly now: number; readonly rand: number; },
    outcome: Outcome,
    baseline: Baseline,
    opts: BaselineOptions,
): readonly Effect[] {
    const call = baseline.calls.get(id)!;
    const { service } = call.started;
    const tokens = baseline.tokens.get(service) ?? INITIAL_TOKENS;
    const isExpired = stamp.now >= call.started.now + call.kind.deadlineMs;
    if (isExpired || call.attempts > opts.retries || (opts.budget !== undefined && tokens < 1)) {
        baseline.calls.delete(id);
        return [{
            type: "refuse_call",
            call: id,
            outcome: outcome.type === "ran" ? unknown("connection-lost") : outcome,
        }];
    }
    if (opts.budget !== undefined) baseline.tokens.set(service, tokens - 1);
    return sendAttempt(id, stamp, baseline, opts);
}

/**
 * Retries calls whose last attempt has lasted for half of the kind's deadline, without cancelling that attempt. Ends
 * calls that are past their deadline.
 */
function onWake(event: EventOf<"wake">, baseline: Baseline, opts: BaselineOptions): readonly Effect[] {
    const effects: Effect[] = [];
    for (const [id, call] of baseline.calls) {
        const isTimedOut = event.now >= call.sentAt + call.kind.deadlineMs / 2;
        const isExpired = event.now >= call.started.now + call.kind.deadlineMs;
        if (isTimedOut || isExpired) effects.push(...retry(id, event, unknown("deadline"), baseline, opts));
    }
    if (baseline.calls.size > 0) effects.push(...scheduleWake(baseline, event.now));
    return effects;
}

function onRunStarted(
    state: NodeState,
    event: EventOf<"run_started">,
    baseline: Baseline,
    opts: BaselineOptions,
): readonly Effect[] {
    baseline.queue.set(event.run, event);
    const effects = startQueued(state, baseline, event.now, opts);
    if (baseline.queue.size <= (opts.queueLimit ?? QUEUE_LIMIT)) return effects;
    baseline.queue.delete(event.run);
    return [...effects, refuseRun(event.run, notRun("over-limit"))];
}

function refuseRun(run: number, outcome: Exclude<Outcome, { readonly type: "ran"; }>): Effect {
    return { type: "refuse_run", run, outcome, retriesLeft: 0, load: NO_LOAD };
}

function startQueued(
    state: NodeState,
    baseline: Baseline,
    now: number,
    opts: BaselineOptions,
): readonly Effect[] {
    const effects: Effect[] = [];
    const limit = opts.limitOf(state.self.service);
    for (const [run, event] of baseline.queue) {
        if (baseline.forwarded.size >= limit) break;
        baseline.queue.delete(run);
        if (now >= event.now + event.ctx.deadlineMs) {
            effects.push(refuseRun(run, notRun("queue-timeout")));
            continue;
        }
        baseline.forwarded.add(run);
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
