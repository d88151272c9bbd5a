/** The short queue of runs that wait for capacity: which run starts next, and which one a full queue refuses. */
import { loadReport } from "./admission.ts";
import { LEVELS_PER_PRIORITY } from "./admissionLevel.ts";
import { MAX_LEVEL } from "./cutoff.ts";
import { highestEstimatedCutoff } from "./routing.ts";
import type { Run } from "./runs.ts";
import type { NodeState } from "./state.ts";
import type { Kind, LoadReport } from "./types.ts";

const MIN_QUEUE_LENGTH = 8;
/**
 * Maximum queue length as a share of the concurrency limit. The last run of a full queue waits about half of a service
 * time.
 */
const QUEUE_LIMIT_SHARE = 0.5;

export function queueLimit(state: NodeState): number {
    return Math.max(MIN_QUEUE_LENGTH, Math.ceil(state.admission.limit * QUEUE_LIMIT_SHARE));
}

export function queueFill(state: NodeState): number {
    return state.runs.queue.size / queueLimit(state);
}

function queuedRuns(state: NodeState): readonly Run[] {
    const runs: Run[] = [];
    for (const id of state.runs.queue) {
        const run = state.runs.runs.get(id);
        if (run !== undefined) runs.push(run);
    }
    return runs;
}

/** The oldest run of the most important priority, or its newest while the queue is nearly full (adaptive LIFO). */
export function nextQueued(state: NodeState): Run | undefined {
    const newestFirst = queueFill(state) > 0.9;
    let best: Run | undefined;
    for (const run of queuedRuns(state)) {
        const order = best === undefined ? -1 : priorityOf(run) - priorityOf(best);
        if (order < 0 || (order === 0 && newestFirst)) best = run;
    }
    return best;
}

export function leastImportantQueued(state: NodeState): Run | undefined {
    let leastImportant: Run | undefined;
    for (const run of queuedRuns(state)) {
        if (leastImportant === undefined || run.level > leastImportant.level) leastImportant = run;
    }
    return leastImportant;
}

function priorityOf(run: Run): number {
    return Math.floor(run.level / LEVELS_PER_PRIORITY);
}

/**
 * Lowest estimated cutoff of the known dependencies of a kind; `MAX_LEVEL` if there is none. The cutoff of a
 * dependency is the highest of its members.
 */
export function downstreamCutoff(state: NodeState, kind: Kind, now: number): number {
    const dependencies = state.routing.dependencies.get(kind.name) ?? [];
    return Math.min(
        MAX_LEVEL,
        ...dependencies.map(service => highestEstimatedCutoff(state, service, kind.name, now)),
    );
}

/** Load report for the requester of a run. Its cutoff also accounts for the dependencies of the kind. */
export function loadReportFor(state: NodeState, kind: Kind | undefined, now: number): LoadReport {
    const report = loadReport(state.admission);
    if (kind === undefined) return report;
    return { ...report, level: Math.min(report.level, downstreamCutoff(state, kind, now)) };
}
