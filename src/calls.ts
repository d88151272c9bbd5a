/**
 * Caller side of a request, from its arrival at this node until its response. The caller is a client outside the
 * system or the local target. A call has one attempt at a time.
 */
import type { Map } from "immutable";
import { levelOf } from "./admissionLevel.ts";
import type { Effect } from "./effects.ts";
import type { CallStarted, EventOf, EventStamp } from "./events.ts";
import { isKeyExpired } from "./keys.ts";
import { chooseKey, recordEgressKey, remintKey, updateEgressKey } from "./minting.ts";
import { isViewMismatch, waitForView } from "./ownershipMaintenance.ts";
import { isEgressKeyLimitReached, resendHorizonMs } from "./records.ts";
import { depositBudget, hasBudget, isRetryableResponse, retriesToGrant, withdrawBudget } from "./retries.ts";
import type { MemberChoice } from "./routing.ts";
import { chooseMember, onAttemptEnded, onAttemptSent, recordDependency } from "./routing.ts";
import {
    findParentRun,
    recordChildCallEnd,
    recordChildCallStart,
    retriesOfRun,
    roundUpWakeTime,
    setRetriesOfRun,
} from "./runs.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, findKind, findService, step } from "./state.ts";
import type { Kind, LoadReport, Member, NotRun, Outcome, RefusalReason, Unknown } from "./types.ts";
import { assertNever, notRun, unknown } from "./types.ts";
import { emptyMap } from "./util.ts";

/** Limit per call, as no allowance or budget limits these retries. Later calls avoid a member that is draining. */
const MAX_TRANSPARENT_RETRIES = 2;

export interface Attempt {
    readonly id: number;
    readonly member: Member;
    readonly sentAt: number;
    /** Retries that the attempt may use for calls further down the chain. Its response reports how many are left. */
    readonly grantedRetries: number;
}

/** Retries that a call may still use. They are counted at the call itself, or at the run that made it. */
export type RetryAllowance =
    | { readonly type: "own"; readonly retries: number; }
    | { readonly type: "run"; readonly run: number; };

export interface Call {
    readonly id: number;
    readonly service: string;
    readonly requestId: string;
    readonly kind: Kind;
    readonly level: number;
    readonly key?: string | undefined;
    /** Id of the entry in `egressKeys` that holds the key of this call; undefined if there is none. */
    readonly egressKeyId?: string | undefined;
    readonly deadlineAt: number;
    readonly depth: number;
    readonly allowance: RetryAllowance;
    /** Whether the body is buffered, so that another attempt can send it. */
    readonly hasBufferedBody: boolean;
    readonly tried: readonly string[];
    readonly transparentRetries: number;
    readonly nextAttempt: number;
    readonly attempt?: Attempt | undefined;
    /** Outcome to report instead of "not run", because an earlier attempt has run or may have run. */
    readonly unknownOutcome?: Unknown | undefined;
    readonly isRelayingResponse: boolean;
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
        return step(state, ...outcomeEffects(event.call, created));
    }
    const { call } = created;
    const counts: Effect[] = [{ type: "count", counter: "calls", label: call.kind.name }];
    if (!event.tracked) counts.push({ type: "count", counter: "untracked_calls", label: event.service });
    return andThen(
        step(recordEgressKey(registerCall(state, call, event.now), call, event.now), ...counts, {
            type: "wake_at",
            at: roundUpWakeTime(call.deadlineAt),
        }),
        next => sendAttempt(next, call, event),
    );
}

function registerCall(state: NodeState, call: Call, now: number): NodeState {
    const registered = putCall(state, call);
    if (call.allowance.type === "own") return registered;
    const routing = recordDependency(registered.routing, call.kind.name, call.service);
    return recordChildCallStart({ ...registered, routing }, call.allowance.run, now);
}

type CallCreation = { readonly type: "call"; readonly call: Call; } | NotRun | Unknown;

function createCall(state: NodeState, event: CallStarted & EventStamp): CallCreation {
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
        && isKeyExpired(event.keyAgeMs, resendHorizonMs(state), kind.deadlineMs)
    ) return unknown("key-expired");
    const chosenKey = chooseKey(state, event, kind, level);
    if (chosenKey.egressKeyId !== undefined && isEgressKeyLimitReached(state)) {
        return notRun("records-full", 1_000);
    }
    return {
        type: "call",
        call: {
            id: event.call,
            service: event.service,
            requestId: event.requestId,
            kind,
            level,
            ...chosenKey,
            deadlineAt,
            depth: (parent?.ctx.depth ?? 0) + 1,
            allowance: createRetryAllowance(event, kind, parent?.id),
            hasBufferedBody: event.hasBufferedBody,
            tried: [],
            transparentRetries: 0,
            nextAttempt: 0,
            isRelayingResponse: false,
        },
    };
}

/** A target's call without a known run gets no retries, because no node may add to the allowance of a chain. */
function createRetryAllowance(event: CallStarted, kind: Kind, parentRun: number | undefined): RetryAllowance {
    if (parentRun !== undefined) return { type: "run", run: parentRun };
    return { type: "own", retries: event.from === "entry" ? kind.retries : 0 };
}

/** Sends the next attempt of a call, or ends the call if no time is left or no member can take it. */
export function sendAttempt(previous: NodeState, previousCall: Call, stamp: EventStamp): Step {
    const call = remintKey(previous, previousCall, stamp);
    const state = call === previousCall ? previous : updateEgressKey(previous, call);
    const remainingMs = call.deadlineAt - stamp.now;
    if (remainingMs <= 0) return endCall(state, call, notRun("deadline"), stamp.now);
    const choice = chooseMemberFor(state, call, stamp);
    if (choice.type === "not-run") return endCall(state, call, choice, stamp.now);
    const grantedRetries = retriesToGrant(remainingRetries(state, call.allowance));
    const attempt: Attempt = {
        id: call.nextAttempt,
        member: choice.member,
        sentAt: stamp.now,
        grantedRetries,
    };
    const sent: Call = {
        ...call,
        attempt,
        nextAttempt: call.nextAttempt + 1,
        tried: [...call.tried, choice.member.id],
    };
    const afterGrant = adjustAllowance(putCall(state, sent), sent, -grantedRetries);
    return step(
        { ...afterGrant, routing: onAttemptSent(afterGrant.routing, choice.member) },
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
                retries: grantedRetries,
                depth: call.depth,
                sender: state.self.id,
            },
            maxConnections: findService(state, call.service)?.connections ?? 1,
        },
    );
}

function chooseMemberFor(state: NodeState, call: Call, stamp: EventStamp): MemberChoice {
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
    if (call?.attempt === undefined || call.attempt.id !== event.attempt || call.isRelayingResponse) {
        return step(state, { type: "count", counter: "late_answers", label: event.outcome.type });
    }
    const attempt = call.attempt;
    const afterRefund = adjustAllowance(state, call, Math.min(event.retriesLeft, attempt.grantedRetries));
    const current = afterRefund.calls.calls.get(call.id)!;
    const recorded = recordAttemptResult(afterRefund, current, attempt, event);
    if (event.outcome.type === "ran") {
        const retried = isRetryableResponse(event.outcome)
            ? retryErrorResponse(recorded, current, event)
            : undefined;
        if (retried !== undefined) return retried;
        const relaying = putCall(recorded, { ...current, isRelayingResponse: true });
        const retryBudgets = event.outcome.status < 500
            ? depositBudget(relaying.retryBudgets, call.service)
            : relaying.retryBudgets;
        return step(
            { ...relaying, retryBudgets },
            { type: "relay_answer", call: call.id, attempt: attempt.id },
        );
    }
    return onAttemptFailed(recorded, { ...current, attempt: undefined }, event.outcome, event);
}

/** Retries a call after an error response, if a retry is allowed and another member can take the request. */
function retryErrorResponse(state: NodeState, call: Call, stamp: EventStamp): Step | undefined {
    if (!call.hasBufferedBody || call.kind.nonIdempotent || !canRetry(state, call)) return undefined;
    if (chooseMemberFor(state, call, stamp).type === "not-run") return undefined;
    const failed: Call = { ...call, attempt: undefined, unknownOutcome: unknown("target-error") };
    return andThen(
        step(putCall(state, failed), ...cancelAttempt(call)),
        next => sendRetry(next, failed, "target-error", stamp),
    );
}

function recordAttemptResult(
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

/** Continues a call after a failed attempt: waits for a newer view, retries (also transparently) or ends the call. */
function onAttemptFailed(state: NodeState, call: Call, outcome: NotRun | Unknown, stamp: EventStamp): Step {
    const updated: Call = outcome.type === "unknown" ? { ...call, unknownOutcome: outcome } : call;
    if (!call.hasBufferedBody) return endCall(state, updated, outcome, stamp.now);
    if (outcome.type === "not-run" && isViewMismatch(state, call, outcome)) {
        return waitForView(putCall(state, updated), updated, stamp);
    }
    if (outcome.type === "not-run" && isTransparentlyRetryable(outcome.reason)) {
        if (call.transparentRetries >= MAX_TRANSPARENT_RETRIES) {
            return endCall(state, updated, outcome, stamp.now);
        }
        const retrying = { ...updated, transparentRetries: call.transparentRetries + 1 };
        return andThen(
            step(putCall(state, retrying), { type: "count", counter: "redirects", label: outcome.reason }),
            next => sendAttempt(next, retrying, stamp),
        );
    }
    if (!isRetryable(call, outcome)) return endCall(state, updated, outcome, stamp.now);
    if (!canRetry(state, call)) {
        const label = remainingRetries(state, call.allowance) < 1 ? "allowance" : "budget";
        return andThen(
            step(state, { type: "count", counter: "retries_denied", label }),
            next => endCall(next, updated, outcome, stamp.now),
        );
    }
    // If no member can take a retry, the call ends with the attempt's outcome, which says more, and uses no retry.
    const choice = chooseMemberFor(state, updated, stamp);
    if (choice.type === "not-run") return endCall(state, updated, outcome, stamp.now);
    return sendRetry(putCall(state, updated), updated, outcome.reason, stamp);
}

function isRetryable(call: Call, outcome: NotRun | Unknown): boolean {
    if (outcome.type === "unknown") return !call.kind.nonIdempotent;
    return outcome.reason === "over-limit" || outcome.reason === "level"
        || outcome.reason === "queue-timeout";
}

function canRetry(state: NodeState, call: Call): boolean {
    return remainingRetries(state, call.allowance) >= 1 && hasBudget(state.retryBudgets, call.service);
}

function sendRetry(state: NodeState, call: Call, label: string, stamp: EventStamp): Step {
    const afterWithdrawal = adjustAllowance(putCall(state, call), call, -1);
    const retryBudgets = withdrawBudget(afterWithdrawal.retryBudgets, call.service);
    return andThen(
        step({ ...afterWithdrawal, retryBudgets }, { type: "count", counter: "retries", label }),
        next => sendAttempt(next, next.calls.calls.get(call.id)!, stamp),
    );
}

/** Whether another attempt costs no allowance: the member could not take the request, whatever its load. */
export function isTransparentlyRetryable(reason: RefusalReason): boolean {
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

/** Ends the calls whose deadline has passed, and schedules the wake for the next deadline. */
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
    return step(result.state, ...result.effects, { type: "wake_at", at: roundUpWakeTime(nextAt) });
}

function abandonAttempt(state: NodeState, call: Call, now: number, outcome: Unknown): NodeState {
    if (call.attempt === undefined || call.isRelayingResponse) return state;
    return recordAttemptResult(state, call, call.attempt, { now, rand: 0, outcome });
}

function cancelAttempt(call: Call): readonly Effect[] {
    return call.attempt === undefined
        ? []
        : [{ type: "cancel_attempt", call: call.id, attempt: call.attempt.id }];
}

function endCall(state: NodeState, call: Call, outcome: NotRun | Unknown, now: number): Step {
    const reported = outcome.type === "not-run" ? call.unknownOutcome ?? outcome : outcome;
    return step(removeCall(state, call, now, true), ...outcomeEffects(call.id, reported));
}

function outcomeEffects(call: number, outcome: NotRun | Unknown): readonly Effect[] {
    const counter = outcome.type === "not-run" ? "refusals" : "unknowns";
    return [{ type: "count", counter, label: outcome.reason }, { type: "refuse_call", call, outcome }];
}

function remainingRetries(state: NodeState, allowance: RetryAllowance): number {
    switch (allowance.type) {
        case "own":
            return allowance.retries;
        case "run":
            return retriesOfRun(state, allowance.run);
        default:
            return assertNever(allowance);
    }
}

function adjustAllowance(state: NodeState, call: Call, delta: number): NodeState {
    if (call.allowance.type === "run") {
        return setRetriesOfRun(state, call.allowance.run, remainingRetries(state, call.allowance) + delta);
    }
    return putCall(state, { ...call, allowance: { type: "own", retries: call.allowance.retries + delta } });
}

function putCall(state: NodeState, call: Call): NodeState {
    return { ...state, calls: { ...state.calls, calls: state.calls.calls.set(call.id, call) } };
}

function removeCall(state: NodeState, call: Call, now: number, failed: boolean): NodeState {
    const removed = { ...state, calls: { ...state.calls, calls: state.calls.calls.delete(call.id) } };
    return call.allowance.type === "own"
        ? removed
        : recordChildCallEnd(removed, call.allowance.run, now, failed);
}
