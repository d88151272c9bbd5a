/**
 * Admits, queues or refuses each run, and forwards it to the local target. No part of its request reaches the target
 * before the effect `forward_run`, so the target has not executed any part of a run that is refused before it.
 */
import type { List, Map } from "immutable";
import { List as createList } from "immutable";
import {
    hasCapacity,
    loadReport,
    onAwaitingCalls,
    onOwnWorkDone,
    onRequestEnded,
    onRequestForwarded,
    setCutoffState,
} from "./admission.ts";
import { levelOf, LEVELS_PER_PRIORITY } from "./admissionLevel.ts";
import { updateSuspectsAfterRun } from "./crashes.ts";
import type { CutoffState } from "./cutoff.ts";
import { adaptCutoff, recordArrival } from "./cutoff.ts";
import type { EventOf, EventStamp } from "./events.ts";
import { sendRecordToNewOwner } from "./handover.ts";
import type { RunDecision } from "./ownership.ts";
import { decideFromRecord, decideRun, keyOf, refusalOf, withOwnership } from "./ownership.ts";
import { acceptsWhileLeaving } from "./ownershipMaintenance.ts";
import { finishKey } from "./records.ts";
import { jitteredRetryAfterMs } from "./retries.ts";
import {
    downstreamCutoff,
    leastImportantQueued,
    loadReportFor,
    nextQueued,
    queueFill,
    queueLimit,
} from "./runQueue.ts";
import type { NodeState, Step } from "./state.ts";
import { andThen, findKind, step } from "./state.ts";
import type { CallContext, Kind, NotRun, Unknown } from "./types.ts";
import { notRun } from "./types.ts";
import { emptyMap } from "./util.ts";

/** Maximum number of parked runs. Further ones are refused. */
const MAX_PARKED_RUNS = 256;
/** Deadlines are rounded up to multiples of this, so that many of them share one `wake` event. */
const WAKE_GRANULARITY_MS = 20;
/** Ratio of the demand of priority 0 to the capacity above which requests of priority 0 are refused too. */
const TOP_PRIORITY_OVERLOAD_RATIO = 1.5;

export interface Run {
    readonly id: number;
    readonly ctx: CallContext;
    readonly kind: Kind;
    readonly level: number;
    readonly fingerprint: string;
    readonly startedAt: number;
    readonly deadlineAt: number;
    /** "queued" until the run is forwarded, also while it is parked; "answered" once its response has begun. */
    readonly phase: "queued" | "forwarded" | "answered";
    readonly forwardedAt?: number | undefined;
    /** Retries that the calls of this run may still use. */
    readonly retries: number;
    /** Calls of this run that have not ended. */
    readonly callsInFlight: number;
    readonly hasCalled: boolean;
    readonly callFailed: boolean;
}

export interface RunsState {
    readonly runs: Map<number, Run>;
    /** Ids of queued runs, oldest first. */
    readonly queue: List<number>;
    /** The newest forwarded run of each request id, which is the parent of the target's calls with that id. */
    readonly byRequestId: Map<string, number>;
}

export function createRunsState(): RunsState {
    return { runs: emptyMap(), queue: createList(), byRequestId: emptyMap() };
}

export function findParentRun(state: NodeState, requestId: string): Run | undefined {
    const id = state.runs.byRequestId.get(requestId);
    return id === undefined ? undefined : state.runs.runs.get(id);
}

/** Retries that a run has left; 0 once the head of its response has returned them to the sender of the request. */
export function retriesOfRun(state: NodeState, run: number): number {
    const found = state.runs.runs.get(run);
    return found === undefined || found.phase === "answered" ? 0 : found.retries;
}

export function setRetriesOfRun(state: NodeState, run: number, retries: number): NodeState {
    const found = state.runs.runs.get(run);
    if (found === undefined || found.phase === "answered") return state;
    return putRun(state, { ...found, retries });
}

export function onRunStarted(state: NodeState, event: EventOf<"run_started">): Step {
    const kind = findKind(state, event.ctx.kind);
    const decision = kind === undefined
        ? undefined
        : decideFromRecord(state, { ctx: event.ctx, kind, fingerprint: event.fingerprint }, event);
    const refused = decision !== undefined ? undefined : refuseAtArrival(state, event, kind);
    if (refused !== undefined || kind === undefined) {
        return refuseRun(state, event.run, refused ?? notRun("unknown-kind"), event.ctx.retries, event);
    }
    const run: Run = {
        id: event.run,
        ctx: event.ctx,
        kind,
        level: levelOf(kind, event.ctx.requestId),
        fingerprint: event.fingerprint,
        startedAt: event.now,
        deadlineAt: event.now + event.ctx.deadlineMs,
        phase: "queued",
        retries: event.ctx.retries,
        callsInFlight: 0,
        hasCalled: false,
        callFailed: false,
    };
    if (decision !== undefined) return applyDecision(state, run, decision, event);
    return admit(updateCutoff(state, event), run, event);
}

function updateCutoff(state: NodeState, stamp: EventStamp): NodeState {
    // Priority 0 is refused only if its own demand clearly exceeds the capacity, because both vary between windows.
    // In slow start, the limit may be below the target's capacity, so a full queue does not show an overload.
    const { isInSlowStart, cutoffState: { demand, capacity } } = state.admission;
    const minCutoff = isInSlowStart || demand[0]! <= capacity * TOP_PRIORITY_OVERLOAD_RATIO
        ? LEVELS_PER_PRIORITY - 1
        : -1;
    const cutoffState = adaptCutoff(state.admission.cutoffState, stamp.now, queueFill(state), minCutoff);
    return { ...state, admission: setCutoffState(state.admission, cutoffState) };
}

function withCutoffState(state: NodeState, changes: Partial<CutoffState>): NodeState {
    return {
        ...state,
        admission: { ...state.admission, cutoffState: { ...state.admission.cutoffState, ...changes } },
    };
}

function admit(previous: NodeState, run: Run, stamp: EventStamp): Step {
    const retryAfterMs = jitteredRetryAfterMs(previous.admission.cutoff, stamp.rand);
    const cutoff = Math.min(previous.admission.cutoff, downstreamCutoff(previous, run.kind, stamp.now));
    if (run.level > cutoff) {
        return refuseUnstarted(previous, run, notRun("level", retryAfterMs), stamp);
    }
    const state = withCutoffState(previous, recordArrival(previous.admission.cutoffState, run.level));
    if (hasCapacity(state.admission, run.kind.priority)) {
        return forward(putRun(withCutoffState(state, { queueEmptied: true }), run), run, stamp);
    }
    if (state.runs.queue.size < queueLimit(state)) return enqueue(state, run);
    const dropped = withCutoffState(state, { hasDropped: true });
    const leastImportant = leastImportantQueued(state);
    if (leastImportant === undefined || leastImportant.level <= run.level) {
        return refuseUnstarted(dropped, run, notRun("over-limit", retryAfterMs), stamp);
    }
    return andThen(
        refuseUnstarted(dropped, leastImportant, notRun("over-limit", retryAfterMs), stamp),
        next => enqueue(next, run),
    );
}

function enqueue(state: NodeState, run: Run): Step {
    const queued = putRun(state, run);
    return step(
        { ...queued, runs: { ...queued.runs, queue: queued.runs.queue.push(run.id) } },
        { type: "wake_at", at: roundUpWakeTime(run.deadlineAt) },
    );
}

export function roundUpWakeTime(deadlineAt: number): number {
    return Math.ceil(deadlineAt / WAKE_GRANULARITY_MS) * WAKE_GRANULARITY_MS;
}

function refuseAtArrival(
    state: NodeState,
    event: EventOf<"run_started">,
    kind: Kind | undefined,
): NotRun | undefined {
    if (state.control.config === undefined) return notRun("no-configuration", 1_000);
    if (kind === undefined) return notRun("unknown-kind");
    if (state.draining && !acceptsWhileLeaving(state, event.ctx.key, event.now)) return notRun("draining");
    if (state.target === undefined || state.target.lost) return notRun("target-down");
    if (event.ctx.deadlineMs <= 0) return notRun("deadline");
    return undefined;
}

function forward(state: NodeState, run: Run, stamp: EventStamp): Step {
    if (state.target === undefined) return removeAndRefuse(state, run, notRun("target-down"));
    return applyDecision(state, run, decideRun(state, run, stamp), stamp);
}

function applyDecision(state: NodeState, run: Run, decision: RunDecision, stamp: EventStamp): Step {
    switch (decision.type) {
        case "start":
            return sendToTarget(decision.state, run, stamp, decision.startBefore);
        case "park":
            return parkRun(state, run, decision.until, stamp.now);
        case "end":
            return removeAndRefuse(state, run, decision.outcome);
        case "replay":
            return step(removeRun(state, run), {
                type: "replay_run",
                run: run.id,
                response: decision.response,
                retriesLeft: run.retries,
                load: loadReport(state.admission),
            });
    }
}

/** Parks a run until its key is free or another crash suspect has ended, at the latest until its deadline. */
function parkRun(state: NodeState, run: Run, until: number, now: number): Step {
    const { parked } = state.ownership;
    if (parked.size >= MAX_PARKED_RUNS && !parked.has(run.id)) {
        return removeAndRefuse(state, run, refusalOf(state, run, notRun("over-limit", 1_000), now));
    }
    return step(withOwnership(putRun(state, run), { parked: parked.set(run.id, until) }), {
        type: "wake_at",
        at: Math.min(until, run.deadlineAt),
    });
}

/** Decides again on a parked run, which may be forwarded, replayed, ended, queued or parked again. */
export function resumeParkedRun(state: NodeState, id: number, stamp: EventStamp): Step {
    const run = state.runs.runs.get(id);
    const unparked = withOwnership(state, { parked: state.ownership.parked.delete(id) });
    if (run?.phase !== "queued") return step(unparked);
    const decision = decideFromRecord(state, run, stamp);
    if (decision !== undefined) return applyDecision(unparked, run, decision, stamp);
    if (hasCapacity(state.admission, run.kind.priority)) return forward(unparked, run, stamp);
    return step({ ...unparked, runs: { ...unparked.runs, queue: unparked.runs.queue.push(id) } });
}

function sendToTarget(state: NodeState, run: Run, stamp: EventStamp, startBefore?: number): Step {
    const forwarded: Run = { ...run, phase: "forwarded", forwardedAt: stamp.now };
    const next = putRun(state, forwarded);
    return step(
        {
            ...next,
            admission: onRequestForwarded(next.admission, stamp.now),
            runs: { ...next.runs, byRequestId: next.runs.byRequestId.set(run.ctx.requestId, run.id) },
        },
        { type: "count", counter: "runs", label: run.kind.name },
        {
            type: "forward_run",
            run: run.id,
            target: state.target!.address,
            deadlineMs: run.deadlineAt - stamp.now,
            startBefore,
            recordResponse: run.kind.nonIdempotent,
        },
    );
}

export function onRunAnswered(state: NodeState, event: EventOf<"run_answered">): Step {
    const run = state.runs.runs.get(event.run);
    if (run === undefined || run.phase !== "forwarded") return step(state);
    return step(putRun(state, { ...run, phase: "answered", retries: 0 }), {
        type: "relay_run",
        run: run.id,
        retriesLeft: run.retries,
        load: loadReportFor(state, run.kind, event.now),
    });
}

/** Records that the target has started a call for a run. */
export function recordChildCallStart(state: NodeState, id: number, now: number): NodeState {
    const run = state.runs.runs.get(id);
    if (run === undefined) return state;
    const next = putRun(state, { ...run, callsInFlight: run.callsInFlight + 1, hasCalled: true });
    if (run.callsInFlight > 0) return next;
    const admission = run.hasCalled ? next.admission : onOwnWorkDone(next.admission, now);
    return { ...next, admission: onAwaitingCalls(admission, now, 1) };
}

export function recordChildCallEnd(state: NodeState, id: number, now: number, failed: boolean): NodeState {
    const run = state.runs.runs.get(id);
    if (run === undefined) return state;
    const callFailed = run.callFailed || failed;
    const next = putRun(state, { ...run, callsInFlight: run.callsInFlight - 1, callFailed });
    return run.callsInFlight > 1 ? next : { ...next, admission: onAwaitingCalls(next.admission, now, -1) };
}

export function onRunEnded(state: NodeState, event: EventOf<"run_ended">): Step {
    const run = state.runs.runs.get(event.run);
    if (run?.forwardedAt === undefined) return step(state);
    const { now, outcome } = event;
    const isCancelled = outcome.type === "unknown" && outcome.reason === "cancelled";
    // A failure after a failed call is not attributed to the target itself.
    const isOk = run.callFailed || isCancelled || (outcome.type === "ran" && outcome.status < 500);
    const afterCalls = run.callsInFlight > 0 ? onAwaitingCalls(state.admission, now, -1) : state.admission;
    const admission = onRequestEnded(run.hasCalled ? afterCalls : onOwnWorkDone(afterCalls, now), now, isOk);
    const ended = recordRunEnd({ ...removeRun(state, run), admission }, run, event);
    const refused = outcome.type === "ran" || run.phase === "answered"
        ? ended
        : andThen(ended, next => refuseRun(next, run.id, outcome, run.retries, event, run.kind));
    return andThen(refused, next => startQueued(next, event));
}

function recordRunEnd(state: NodeState, run: Run, event: EventOf<"run_ended">): Step {
    const ended = updateSuspectsAfterRun(state, run, event);
    const key = keyOf(run);
    if (key === undefined) return ended;
    const finished = finishKey(ended.state, key, run, event);
    return step(finished, ...ended.effects, ...sendRecordToNewOwner(finished, key, event.now));
}

function startQueued(state: NodeState, stamp: EventStamp): Step {
    let result = step(updateCutoff(state, stamp));
    let run = nextQueued(result.state);
    while (run !== undefined) {
        const next = run;
        if (!hasCapacity(result.state.admission, next.kind.priority)) return result;
        result = andThen(result, current => startOrDrop(dequeue(current, next), next, stamp));
        run = nextQueued(result.state);
    }
    return step(withCutoffState(result.state, { queueEmptied: true }), ...result.effects);
}

/** Forwards a run, or refuses it if the time left until its deadline is at most half of the baseline latency. */
function startOrDrop(state: NodeState, run: Run, stamp: EventStamp): Step {
    const { baselineMs = 0 } = state.admission;
    if (run.deadlineAt > stamp.now + baselineMs / 2) return forward(state, run, stamp);
    const dropped = withCutoffState(state, { hasDropped: true });
    return refuseUnstarted(
        dropped,
        run,
        notRun("queue-timeout", jitteredRetryAfterMs(state.admission.cutoff, stamp.rand)),
        stamp,
    );
}

function dequeue(state: NodeState, run: Run): NodeState {
    return { ...state, runs: { ...state.runs, queue: state.runs.queue.filter(id => id !== run.id) } };
}

export function onRunCancelled(state: NodeState, event: EventOf<"run_cancelled">): Step {
    const run = state.runs.runs.get(event.run);
    if (run === undefined) return step(state);
    if (run.phase !== "queued") return step(state, { type: "cancel_run", run: run.id });
    return step(removeRun(state, run), { type: "count", counter: "refusals", label: "cancelled" });
}

/** Refuses queued and parked runs whose deadline has passed, and schedules a `wake` event for the next deadline. */
export function expireRuns(state: NodeState, stamp: EventStamp): Step {
    let result = step(state);
    let nextAt = Infinity;
    for (const id of [...state.runs.queue, ...state.ownership.parked.keys()]) {
        const run = result.state.runs.runs.get(id);
        if (run === undefined) continue;
        if (run.deadlineAt > stamp.now) nextAt = Math.min(nextAt, run.deadlineAt);
        else result = andThen(result, next => refuseUnstarted(next, run, notRun("queue-timeout"), stamp));
    }
    if (nextAt === Infinity) return result;
    return step(result.state, ...result.effects, { type: "wake_at", at: roundUpWakeTime(nextAt) });
}

function removeAndRefuse(state: NodeState, run: Run, outcome: NotRun | Unknown, stamp?: EventStamp): Step {
    return refuseRun(removeRun(state, run), run.id, outcome, run.retries, stamp, run.kind);
}

/** Refuses a run that was not started. The outcome is "unknown" if an earlier attempt with its key may have run. */
function refuseUnstarted(state: NodeState, run: Run, outcome: NotRun, stamp: EventStamp): Step {
    return removeAndRefuse(state, run, refusalOf(state, run, outcome, stamp.now), stamp);
}

function refuseRun(
    state: NodeState,
    run: number,
    outcome: NotRun | Unknown,
    retriesLeft: number,
    stamp?: EventStamp,
    kind?: Kind,
): Step {
    const load = stamp === undefined ? loadReport(state.admission) : loadReportFor(state, kind, stamp.now);
    return step(state, {
        type: "count",
        counter: outcome.type === "not-run" ? "refusals" : "unknowns",
        label: outcome.reason,
    }, { type: "refuse_run", run, outcome, retriesLeft, load });
}

function putRun(state: NodeState, run: Run): NodeState {
    return { ...state, runs: { ...state.runs, runs: state.runs.runs.set(run.id, run) } };
}

function removeRun(state: NodeState, run: Run): NodeState {
    const { runs, queue, byRequestId } = state.runs;
    return {
        ...state,
        runs: {
            runs: runs.delete(run.id),
            queue: run.phase === "queued" ? queue.filter(id => id !== run.id) : queue,
            byRequestId: byRequestId.get(run.ctx.requestId) === run.id
                ? byRequestId.delete(run.ctx.requestId)
                : byRequestId,
        },
    };
}
