/** Figures of one simulation: goodput relative to an ideal controller, wasted work, attempts and recovery time. */
import type { Interval, OverloadCase } from "./cases.ts";
import { AFTER_MS, BEFORE_MS, runCase } from "./cases.ts";
import type { Setting } from "./settings.ts";
import { findService } from "./settings.ts";
import type { SentRequest, System } from "./simulation.ts";
import { Simulation } from "./simulation.ts";

export interface Figures {
    /** Worth of the requests that were sent during the overload and succeeded, as a share of the ideal. */
    readonly weighted: number;
    /** Share of the requests sent during the overload that succeeded, by kind. */
    readonly goodput: Readonly<Record<string, number>>;
    /** Share of the requests of priority 0 that succeeded, over the whole simulation. */
    readonly vital: number;
    /** Share of the targets' work that was spent on requests that failed. */
    readonly wasted: number;
    readonly attemptsMean: number;
    /** Largest excess of extra attempts over the allowance of a request; at most 0 if the allowance was kept. */
    readonly extraOverAllowance: number;
    /** Time from the end of the last overload to recovery; Infinity without a recovery during the simulation. */
    readonly recoveryMs: number;
    readonly refusals: Readonly<Record<string, number>>;
}

const STEP_MS = 250;
/** Long enough to hold sufficient samples of the kinds that decide whether the system has recovered. */
const WINDOW_MS = 1_000;
const TOLERANCE = 0.05;

export function measure(setting: Setting, testCase: OverloadCase, system: System, seed: number): Figures {
    const simulation = new Simulation({
        setting,
        system,
        seed,
        ...(testCase.clientRetries === undefined ? {} : { clientRetries: testCase.clientRetries }),
    });
    const intervals = runCase(simulation, testCase);
    const during = simulation.sent.filter(sent =>
        intervals.some(({ from, to }) => isSentWithin(sent, from, to))
    );
    const usefulMs = sum(simulation.sent.filter(sent => sent.ok).map(sent => sent.workMs));
    return {
        weighted: weightedGoodput(simulation, intervals, testCase.capacity ?? 1),
        goodput: Object.fromEntries(
            setting.kinds.map(
                kind => [kind.kind.name, successShare(during.filter(sent => sent.kindSetting === kind))],
            ),
        ),
        vital: successShare(simulation.sent.filter(sent => sent.kindSetting.kind.priority === 0)),
        wasted: 1 - usefulMs / simulation.totalWorkMs,
        attemptsMean: sum(simulation.sent.map(sent => sent.attempts)) / simulation.sent.length,
        extraOverAllowance: simulation.maxExcessRetries,
        recoveryMs: recoveryTimeMs(simulation, intervals.at(-1)!.to),
        refusals: Object.fromEntries([...simulation.refusals].sort(([a], [b]) => a < b ? -1 : 1)),
    };
}

function isSentWithin(sent: SentRequest, from: number, to: number): boolean {
    return sent.at >= from && sent.at < to;
}

export function sum(values: readonly number[]): number {
    return values.reduce((a, b) => a + b, 0);
}

export function successShare(sent: readonly SentRequest[]): number {
    return sent.length === 0 ? 1 : sent.filter(({ ok }) => ok).length / sent.length;
}

/** Worth of the requests that were sent in the intervals and succeeded, as a share of the ideal. */
export function weightedGoodput(
    simulation: Simulation,
    intervals: readonly Interval[],
    capacity: number,
): number {
    const sent = simulation.sent.filter(found =>
        intervals.some(({ from, to }) => isSentWithin(found, from, to))
    );
    return finishedWorth(sent) / idealWorth(simulation.setting, sent, intervals, capacity);
}

function finishedWorth(sent: readonly SentRequest[]): number {
    return sum(sent.filter(({ ok }) => ok).map(({ kindSetting }) => kindSetting.kind.worth));
}

/**
 * Worth that an ideal controller could finish. It admits the requests with the highest worth first, until the slots of
 * the bottleneck are used up; each request passes the bottleneck once. When the bottleneck is slowed down, some
 * requests miss their deadline even on an idle target, and hold their slot until then.
 */
function idealWorth(
    setting: Setting,
    sent: readonly SentRequest[],
    intervals: readonly Interval[],
    capacity: number,
): number {
    const durationMs = sum(intervals.map(({ from, to }) => to - from));
    const { instances, slots, serviceMs } = findService(setting, setting.bottleneck);
    const meanMs = serviceMs / capacity;
    let remainingSlotMs = instances * slots * durationMs;
    let worth = 0;
    for (
        const { kindSetting: { kind } } of [...sent].sort((a, b) =>
            b.kindSetting.kind.worth - a.kindSetting.kind.worth
        )
    ) {
        const inTimeShare = 1 - Math.exp(-kind.deadlineMs / meanMs);
        remainingSlotMs -= meanMs * inTimeShare;
        if (remainingSlotMs < 0) break;
        worth += kind.worth * inTimeShare;
    }
    return worth;
}

/**
 * Time in ms from the end of the overload to the start of the first two consecutive windows that are recovered;
 * Infinity if there are none. In a recovered window, for each of the two highest priorities that have kinds with worth,
 * the share of successful requests and the mean latency are at most 5 % worse than before the overload. The latency may
 * exceed this by two standard errors, since service times are exponential.
 */
export function recoveryTimeMs(simulation: Simulation, endedAt: number): number {
    const before = simulation.sent.filter(sent =>
        isSentWithin(sent, simulation.startedAt + 3_000, simulation.startedAt + BEFORE_MS)
    );
    const isRecovered = (at: number) =>
        isWindowRecovered(
            simulation,
            before,
            simulation.sent.filter(sent => isSentWithin(sent, at, at + WINDOW_MS)),
        );
    for (let at = endedAt; at + 2 * WINDOW_MS <= endedAt + AFTER_MS; at += STEP_MS) {
        if (isRecovered(at) && isRecovered(at + WINDOW_MS)) return at - endedAt;
    }
    return Infinity;
}

function isWindowRecovered(
    simulation: Simulation,
    before: readonly SentRequest[],
    inWindow: readonly SentRequest[],
): boolean {
    const priorities = [
        ...new Set(
            simulation.setting.kinds.filter(({ kind }) => kind.worth > 0).map(({ kind }) => kind.priority),
        ),
    ].sort((a, b) => a - b).slice(0, 2);
    return priorities.every(priority => {
        const select = (all: readonly SentRequest[]) =>
            all.filter(sent => sent.kindSetting.kind.priority === priority);
        const [sentBefore, sentNow] = [select(before), select(inWindow)];
        if (successShare(sentNow) < successShare(sentBefore) * (1 - TOLERANCE)) return false;
        const [latencyBefore, latencyNow] = [latencyStats(sentBefore), latencyStats(sentNow)];
        return latencyNow.mean
            <= latencyBefore.mean * (1 + TOLERANCE) + 2 * Math.hypot(latencyBefore.error, latencyNow.error);
    });
}

function latencyStats(sent: readonly SentRequest[]): { readonly mean: number; readonly error: number; } {
    const values = sent.filter(({ ok }) => ok).map(({ at, endedAt }) => endedAt! - at);
    const mean = sum(values) / Math.max(1, values.length);
    const variance = sum(values.map(value => (value - mean) ** 2)) / Math.max(1, values.length - 1);
    return { mean, error: Math.sqrt(variance / Math.max(1, values.length)) };
}
