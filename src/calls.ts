/**
 * The caller side of a request: from the moment it reaches this node, from outside or from the local target,
 * to its answer. A call has one attempt at a time.
 */
import type { Map } from "immutable";
import type { Effect } from "./effects.ts";
import type { CallStarted, EventOf, EventStamp } from "./events.ts";
import { isExpired } from "./keys.ts";
import { chooseKey, keepKey, keepNewKey, mintAgain } from "./minting.ts";
import { levelOf } from "./priority.ts";
import { areEgressKeysFull, horizonOf } from "./records.ts";
import { earnBudget, hasBudget, isRetryableAnswer, payBudget, shareOf } from "./retries.ts";
import type { Choice } from "./routing.ts";
import { chooseMember, noteCallee, onAttemptEnded, onAttemptSent } from "./routing.ts";
import { findParentRun, noteCallBegun, noteCallEnded, poolOfRun, setPoolOfRun, wakeTime } from "./runs.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, findKind, findService, step } from "./state.ts";
import type { Kind, LoadReport, Member, NotRun, Outcome, RefusalReason, Unknown } from "./types.ts";
import { assertNever, notRun, unknown } from "./types.ts";
import { emptyMap } from "./util.ts";
import { awaitsView, waitForView } from "./waits.ts";

/** Redirects that one call follows; each marks a member for all later calls, so that few calls need one. */
const REDIRECT_LIMIT = 2;

export interface Attempt {
    readonly id: number;
    readonly member: Member;
    readonly sentAt: number;
    /** Extra attempts handed down and not yet reported back. */
    readonly handedDown: number;
}

/** Where the extra attempts of a call are counted: at the call itself, or at the run that made it. */
export type Pool = { readonly type: "own"; readonly retries: number; } | {
    readonly type: "run";
    readonly run: number;
};

export interface Call {
    readonly id: number;
    readonly service: string;
    readonly requestId: string;
    readonly kind: Kind;
    readonly level: number;
    readonly key?: string | undefined;
    readonly keptAs?: string | undefined;
    readonly deadlineAt: number;
    readonly depth: number;
    readonly pool: Pool;
    readonly replayable: boolean;
    readonly tried: readonly string[];
    readonly redirects: number;
    readonly nextAttempt: number;
    readonly attempt?: Attempt | undefined;
    /** Why an earlier attempt may have run; the call can then no longer end as "not run". */
    readonly mayHaveRun?: Unknown | undefined;
    readonly relaying: boolean;
}

export interface CallsState {
    readonly calls: Map<number, Call>;
}

export function createCallsState(): CallsState {
    return { calls: emptyMap() };
}

export function onCallStarted(state: NodeState, event: EventOf<"call_started">): Step {
    const created = createCall(state, event);
    if (created.type !== "call") {
        return step(state, ...refusal(event.call, created));
    }
    const { call } = created;
    const counted: Effect[] = [{ type: "count", counter: "calls", label: call.kind.name }];
    if (!event.tracked) counted.push({ type: "count", counter: "untracked_calls", label: event.service });
    return andThen(
        step(keepKey(begun(state, call, event.now), call, event.now), ...counted, {
            type: "wake_at",
            at: wakeTime(call.deadlineAt),
        }),
        next => sendAttempt(next, call, event),
    );
}

function begun(state: NodeState, call: Call, now: number): NodeState {
    const put = putCall(state, call);
    if (call.pool.type === "own") return put;
    const routing = noteCallee(put.routing, call.kind.name, call.service);
    return noteCallBegun({ ...put, routing }, call.pool.run, now);
}

type Created = { readonly type: "call"; readonly call: Call; } | NotRun | Unknown;

function createCall(state: NodeState, event: CallStarted & EventStamp): Created {
    if (state.control.config === undefined) return notRun("no-configuration", 1_000);
    const service = findService(state, event.service);
    if (service === undefined) return notRun("unknown-service");
    const parent = event.from === "egress" && event.tracked
        ? findParentRun(state, event.requestId)
        : undefined;
    const kind = findKind(state, event.kind ?? parent?.ctx.kind ?? service.defaultKind);
    if (kind === undefined || (event.from === "entry" && !kind.external)) return notRun("unknown-kind");
    const ownDeadlineMs = Math.min(event.deadlineMs ?? kind.deadlineMs, kind.deadlineMs);
    const deadlineAt = Math.min(event.now + ownDeadlineMs, parent?.deadlineAt ?? Infinity);
    const level = levelOf(kind, event.requestId);
    if (
        kind.nonIdempotent && event.keyAgeMs !== undefined
        && isExpired(event.keyAgeMs, horizonOf(state), kind.deadlineMs)
    ) return unknown("key-expired");
    const chosen = chooseKey(state, event, kind, level);
    if (chosen.keptAs !== undefined && areEgressKeysFull(state)) return notRun("records-full", 1_000);
    return {
        type: "call",
        call: {
            id: event.call,
            service: event.service,
            requestId: event.requestId,
            kind,
            level,
            ...chosen,
            deadlineAt,
            depth: (parent?.ctx.depth ?? 0) + 1,
            pool: poolFor(event, kind, parent?.id),
            replayable: event.replayable,
            tried: [],
            redirects: 0,
            nextAttempt: 0,
            relaying: false,
        },
    };
}

function poolFor(event: CallStarted, kind: Kind, parentRun: number | undefined): Pool {
    if (parentRun !== undefined) return { type: "run", run: parentRun };
    return { type: "own", retries: event.from === "entry" ? kind.retries : 0 };
}

export function sendAttempt(old: NodeState, oldCall: Call, stamp: EventStamp): Step {
    const call = mintAgain(old, oldCall, stamp);
    const state = call === oldCall ? old : keepNewKey(old, call);
    const remainingMs = call.deadlineAt - stamp.now;
    if (remainingMs <= 0) return endCall(state, call, notRun("deadline"), stamp.now);
    const choice = chooseFor(state, call, stamp);
    if (choice.type === "not-run") return endCall(state, call, choice, stamp.now);
    const handedDown = shareOf(heldBy(state, call.pool));
    const attempt: Attempt = { id: call.nextAttempt, member: choice.member, sentAt: stamp.now, handedDown };
    const sent: Call = {
        ...call,
        attempt,
        nextAttempt: call.nextAttempt + 1,
        tried: [...call.tried, choice.member.id],
    };
    const spent = changePool(putCall(state, sent), sent, -handedDown);
    return step(
        { ...spent, routing: onAttemptSent(spent.routing, choice.member) },
        {
            type: "send_attempt",
            call: call.id,
            attempt: attempt.id,
            member: choice.member,
            ctx: {
                requestId: call.requestId,
                kind: call.kind.name,
                key: call.key,
                deadlineMs: remainingMs,
                retries: handedDown,
                depth: call.depth,
                sender: state.self.id,
            },
            connections: findService(state, call.service)?.connections ?? 1,
        },
    );
}

function chooseFor(state: NodeState, call: Call, stamp: EventStamp): Choice {
    return chooseMember(state, {
        service: call.service,
        kind: call.kind.name,
        level: call.level,
        tried: call.tried,
        key: call.key,
        now: stamp.now,
        rand: stamp.rand,
    });
}

export function onAttemptAnswered(state: NodeState, event: EventOf<"attempt_answered">): Step {
    const call = state.calls.calls.get(event.call);
    if (call?.attempt === undefined || call.attempt.id !== event.attempt || call.relaying) {
        return step(state, { type: "count", counter: "late_answers", label: event.outcome.type });
    }
    const attempt = call.attempt;
    const returned = changePool(state, call, Math.min(event.retriesLeft, attempt.handedDown));
    const current = returned.calls.calls.get(call.id)!;
    const noted = noteResult(returned, current, attempt, event);
    if (event.outcome.type === "ran") {
        const retried = isRetryableAnswer(event.outcome) ? retryAnswer(noted, current, event) : undefined;
        if (retried !== undefined) return retried;
        const relaying = putCall(noted, { ...current, relaying: true });
        const budgets = event.outcome.status < 500
            ? earnBudget(relaying.budgets, call.service)
            : relaying.budgets;
        return step(
            { ...relaying, budgets },
            { type: "relay_answer", call: call.id, attempt: attempt.id },
        );
    }
    return afterFailure(noted, { ...current, attempt: undefined }, event.outcome, event);
}

/** Repeats a call whose target failed, if it may be repeated and another member can take it. */
function retryAnswer(state: NodeState, call: Call, stamp: EventStamp): Step | undefined {
    if (!call.replayable || call.kind.nonIdempotent || !mayPay(state, call)) return undefined;
    if (chooseFor(state, call, stamp).type === "not-run") return undefined;
    const failed: Call = { ...call, attempt: undefined, mayHaveRun: unknown("target-error") };
    return andThen(
        step(putCall(state, failed), ...cancelAttempt(call)),
        next => payAndSend(next, failed, "target-error", stamp),
    );
}

function noteResult(
    state: NodeState,
    call: Call,
    attempt: Attempt,
    event: EventStamp & { readonly outcome: Outcome; readonly load?: LoadReport | undefined; },
): NodeState {
    const routing = onAttemptEnded(state.routing, attempt.member.id, {
        now: event.now,
        kind: call.kind.name,
        latencyMs: event.now - attempt.sentAt,
        outcome: event.outcome,
        load: event.load,
    });
    return { ...state, routing };
}

/** Decides whether a failed attempt is followed by another one. */
function afterFailure(state: NodeState, call: Call, outcome: NotRun | Unknown, stamp: EventStamp): Step {
    const marked: Call = outcome.type === "unknown" ? { ...call, mayHaveRun: outcome } : call;
    if (!call.replayable) return endCall(state, marked, outcome, stamp.now);
    if (outcome.type === "not-run" && awaitsView(state, call, outcome)) {
        return waitForView(putCall(state, marked), marked, stamp);
    }
    if (outcome.type === "not-run" && isRedirect(outcome.reason)) {
        if (call.redirects >= REDIRECT_LIMIT) return endCall(state, marked, outcome, stamp.now);
        const redirected = { ...marked, redirects: call.redirects + 1 };
        return andThen(
            step(putCall(state, redirected), { type: "count", counter: "redirects", label: outcome.reason }),
            next => sendAttempt(next, redirected, stamp),
        );
    }
    if (!mayRepeat(call, outcome)) return endCall(state, marked, outcome, stamp.now);
    if (!mayPay(state, call)) {
        const label = heldBy(state, call.pool) < 1 ? "allowance" : "budget";
        return andThen(
            step(state, { type: "count", counter: "retries_denied", label }),
            next => endCall(next, marked, outcome, stamp.now),
        );
    }
    // A choice that is refused costs nothing, and its reason says more of the service than the first refusal.
    const choice = chooseFor(state, marked, stamp);
    if (choice.type === "not-run") return endCall(state, marked, outcome, stamp.now);
    return payAndSend(putCall(state, marked), marked, outcome.reason, stamp);
}

function mayRepeat(call: Call, outcome: NotRun | Unknown): boolean {
    if (outcome.type === "unknown") return !call.kind.nonIdempotent;
    return outcome.reason === "over-limit" || outcome.reason === "level"
        || outcome.reason === "queue-timeout";
}

function mayPay(state: NodeState, call: Call): boolean {
    return heldBy(state, call.pool) >= 1 && hasBudget(state.budgets, call.service);
}

function payAndSend(state: NodeState, call: Call, label: string, stamp: EventStamp): Step {
    const paid = changePool(putCall(state, call), call, -1);
    const budgets = payBudget(paid.budgets, call.service);
    return andThen(
        step({ ...paid, budgets }, { type: "count", counter: "retries", label }),
        next => sendAttempt(next, next.calls.calls.get(call.id)!, stamp),
    );
}

/** Whether a refusal concerns the member and not its load. */
export function isRedirect(reason: RefusalReason): boolean {
    return reason === "draining" || reason === "target-down" || reason === "connect-failed"
        || reason === "not-owner";
}

export function onAttemptClosed(state: NodeState, event: EventOf<"attempt_closed">): Step {
    const call = state.calls.calls.get(event.call);
    if (call === undefined || call.attempt?.id !== event.attempt) return step(state);
    const removed = removeCall(state, call, event.now, !event.complete);
    return event.complete
        ? step(removed)
        : step(removed, { type: "count", counter: "unknowns", label: "truncated" });
}

export function onCallCancelled(state: NodeState, event: EventOf<"call_cancelled">): Step {
    const call = state.calls.calls.get(event.call);
    if (call === undefined) return step(state);
    return step(
        abandonAttempt(removeCall(state, call, event.now, true), call, event.now, unknown("cancelled")),
        ...cancelAttempt(call),
    );
}

/** Ends the calls whose deadline has passed. */
export function expireCalls(state: NodeState, stamp: EventStamp): Step {
    let result = step(state);
    let nextAt = Infinity;
    for (const call of state.calls.calls.values()) {
        if (call.deadlineAt > stamp.now) {
            nextAt = Math.min(nextAt, call.deadlineAt);
            continue;
        }
        const outcome = call.attempt === undefined ? notRun("deadline") : unknown("deadline");
        result = andThen(result, next =>
            andThen(
                step(abandonAttempt(next, call, stamp.now, unknown("deadline")), ...cancelAttempt(call)),
                abandoned => endCall(abandoned, call, outcome, stamp.now),
            ));
    }
    if (nextAt === Infinity) return result;
    return step(result.state, ...result.effects, { type: "wake_at", at: wakeTime(nextAt) });
}

function abandonAttempt(state: NodeState, call: Call, now: number, outcome: Unknown): NodeState {
    if (call.attempt === undefined || call.relaying) return state;
    return noteResult(state, call, call.attempt, { now, rand: 0, outcome });
}

function cancelAttempt(call: Call): readonly Effect[] {
    return call.attempt === undefined
        ? []
        : [{ type: "cancel_attempt", call: call.id, attempt: call.attempt.id }];
}

function endCall(state: NodeState, call: Call, outcome: NotRun | Unknown, now: number): Step {
    const told = outcome.type === "not-run" ? call.mayHaveRun ?? outcome : outcome;
    return step(removeCall(state, call, now, true), ...refusal(call.id, told));
}

function refusal(call: number, outcome: NotRun | Unknown): readonly Effect[] {
    const counter = outcome.type === "not-run" ? "refusals" : "unknowns";
    return [{ type: "count", counter, label: outcome.reason }, { type: "refuse_call", call, outcome }];
}

function heldBy(state: NodeState, pool: Pool): number {
    switch (pool.type) {
        case "own":
            return pool.retries;
        case "run":
            return poolOfRun(state, pool.run);
        default:
            return assertNever(pool);
    }
}

function changePool(state: NodeState, call: Call, by: number): NodeState {
    if (call.pool.type === "run") return setPoolOfRun(state, call.pool.run, heldBy(state, call.pool) + by);
    return putCall(state, { ...call, pool: { type: "own", retries: call.pool.retries + by } });
}

function putCall(state: NodeState, call: Call): NodeState {
    return { ...state, calls: { ...state.calls, calls: state.calls.calls.set(call.id, call) } };
}

function removeCall(state: NodeState, call: Call, now: number, failed: boolean): NodeState {
    const removed = { ...state, calls: { ...state.calls, calls: state.calls.calls.delete(call.id) } };
    return call.pool.type === "own" ? removed : noteCallEnded(removed, call.pool.run, now, failed);
}
