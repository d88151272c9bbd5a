/**
 * Detection of requests that crash targets. Requests in progress at a crash become suspects. A request in progress
 * at two crashes is the likely cause of both: it is blocked, and the other suspects of these crashes are cleared.
 */
import type { Map } from "immutable";
import type { Effect } from "./effects.ts";
import type { EventOf, EventStamp } from "./events.ts";
import type { RunDecision } from "./ownership.ts";
import type { PeerRequest } from "./peerMessages.ts";
import { resendHorizonMs } from "./records.ts";
import type { Run } from "./runs.ts";
import type { NodeState, Step } from "./state.ts";
import { step } from "./state.ts";
import { notRun } from "./types.ts";
import { emptyMap } from "./util.ts";

const MAX_SUSPECTS = 512;
/** Connections that are lost within this time of the first one belong to the same crash. */
const CRASH_WINDOW_MS = 1_000;
const REPORT_TIMEOUT_MS = 500;

export interface Suspect {
    /** Ids of the crashes at which the request was in progress. */
    readonly crashes: readonly string[];
    /** When this node recorded the latest of these crashes. */
    readonly at: number;
}

export interface CrashesState {
    /** Suspected requests by fingerprint. `MembershipState.suspects` is about members instead. */
    readonly suspects: Map<string, Suspect>;
    /** The latest crash of the local target. */
    readonly latestCrash?: { readonly id: string; readonly at: number; } | undefined;
}

export function createCrashesState(): CrashesState {
    return { suspects: emptyMap() };
}

type CrashReport = Extract<PeerRequest, { readonly type: "crashes.report"; }>;

function isBlocked(suspect: Suspect): boolean {
    return suspect.crashes.length > 1;
}

/** Refuses a blocked request, and parks a suspect while another one is at the target; undefined for other runs. */
export function decideForSuspect(
    state: NodeState,
    run: Run,
    stamp: EventStamp,
): Extract<RunDecision, { readonly type: "park" | "end"; }> | undefined {
    const suspect = findSuspect(state, run.fingerprint, stamp.now);
    if (suspect === undefined) return undefined;
    if (isBlocked(suspect)) return { type: "end", outcome: notRun("crashes-targets") };
    const isAnotherAtTarget = state.runs.runs.some(found =>
        found.phase !== "queued" && found.id !== run.id
        && findSuspect(state, found.fingerprint, stamp.now) !== undefined
    );
    return isAnotherAtTarget ? { type: "park", until: run.deadlineAt } : undefined;
}

function findSuspect(state: NodeState, fingerprint: string, now: number): Suspect | undefined {
    const suspect = state.crashes.suspects.get(fingerprint);
    return suspect !== undefined && suspect.at + resendHorizonMs(state) > now ? suspect : undefined;
}

/**
 * Records a crash of the local target, detected by a refused connection or one that was lost before a response.
 * All requests in progress become suspects. The same step sends a report to each other member of the view, without
 * waiting for the responses.
 */
export function recordCrash(state: NodeState, now: number): Step {
    const { latestCrash } = state.crashes;
    if (latestCrash !== undefined && now < latestCrash.at + CRASH_WINDOW_MS) return step(state);
    const id = `${state.self.id}:${Math.floor(now)}`;
    const fingerprints = state.runs.runs.valueSeq().filter(run => run.phase !== "queued")
        .map(run => run.fingerprint).toSet().take(MAX_SUSPECTS).toArray();
    if (fingerprints.length === 0) return step(state);
    const recorded = { ...state, crashes: { ...state.crashes, latestCrash: { id, at: now } } };
    return step(addSuspects(recorded, id, fingerprints, now), ...reportEffects(state, id, fingerprints, []));
}

/** Records a crash if the run ended with one. Clears an unblocked suspect whose run ended with a known outcome. */
export function updateSuspectsAfterRun(state: NodeState, run: Run, event: EventOf<"run_ended">): Step {
    const { outcome } = event;
    if (outcome.type === "unknown" && outcome.reason === "target-crashed") {
        return recordCrash(state, event.now);
    }
    const suspect = state.crashes.suspects.get(run.fingerprint);
    if (outcome.type === "unknown" || suspect === undefined || isBlocked(suspect)) return step(state);
    return step(
        clearSuspects(state, [run.fingerprint]),
        ...reportEffects(state, "none", [], [run.fingerprint]),
    );
}

/** Merges a report of another node. */
export function onCrashReport(state: NodeState, request: CrashReport, now: number): NodeState {
    return clearSuspects(addSuspects(state, request.crash, request.suspects, now), request.cleared);
}

function addSuspects(
    state: NodeState,
    crash: string,
    fingerprints: readonly string[],
    now: number,
): NodeState {
    let next = state;
    for (const fingerprint of fingerprints) {
        const known = findSuspect(next, fingerprint, now)?.crashes ?? [];
        const crashes = known.includes(crash) ? known : [...known, crash];
        next = withSuspects(
            next,
            evictOldestSuspect(next.crashes.suspects.set(fingerprint, { crashes, at: now })),
        );
    }
    return clearSuspectsOfBlockedRequests(next);
}

/** Clears the suspects whose crashes are all attributed to blocked requests. */
function clearSuspectsOfBlockedRequests(state: NodeState): NodeState {
    const { suspects } = state.crashes;
    const attributedCrashes = new Set(
        suspects.valueSeq().filter(isBlocked).flatMap(suspect => suspect.crashes),
    );
    if (attributedCrashes.size === 0) return state;
    return withSuspects(
        state,
        suspects.filter(suspect =>
            isBlocked(suspect) || !suspect.crashes.every(id => attributedCrashes.has(id))
        ),
    );
}

function evictOldestSuspect(suspects: Map<string, Suspect>): Map<string, Suspect> {
    if (suspects.size <= MAX_SUSPECTS) return suspects;
    const oldest = suspects.entrySeq().minBy(([, suspect]) => suspect.at);
    return oldest === undefined ? suspects : suspects.delete(oldest[0]);
}

function clearSuspects(state: NodeState, fingerprints: readonly string[]): NodeState {
    return fingerprints.length === 0
        ? state
        : withSuspects(state, state.crashes.suspects.deleteAll(fingerprints));
}

function withSuspects(state: NodeState, suspects: Map<string, Suspect>): NodeState {
    return { ...state, crashes: { ...state.crashes, suspects } };
}

function reportEffects(
    state: NodeState,
    crash: string,
    suspects: readonly string[],
    cleared: readonly string[],
): readonly Effect[] {
    const members = state.control.views.get(state.self.service)?.members ?? [];
    return members.filter(member => member.id !== state.self.id).map(member => ({
        type: "send_rpc",
        token: "crash",
        to: member.address,
        timeoutMs: REPORT_TIMEOUT_MS,
        request: { type: "crashes.report", sender: state.self.id, crash, suspects, cleared },
    }));
}
