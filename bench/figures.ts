/** Figures of one run: goodput against an ideal controller, wasted work, attempts and recovery. */
import type { Interval, OverloadCase } from "./cases.ts";
import { AFTER_MS, BEFORE_MS, runCase } from "./cases.ts";
import type { Setting } from "./settings.ts";
import { serviceOf } from "./settings.ts";
import type { SentRequest, System } from "./simulation.ts";
import { Simulation } from "./simulation.ts";

export interface Figures {
    /** Worth finished of the requests that arrived during the overload, as a share of the ideal. */
    readonly weighted: number;
    /** Finished of the requests that arrived during the overload, by kind. */
    readonly goodput: Readonly<Record<string, number>>;
    /** Finished of the kinds of priority 0, over the whole run. */
    readonly vital: number;
    /** Share of the targets' work that went into requests that failed. */
    readonly wasted: number;
    readonly attemptsMean: number;
    /** Largest excess of extra attempts over the allowance; at most 0 if the promise holds. */
    readonly extraOverAllowance: number;
    /** Time from the end of the last overload; Infinity if not recovered in the run. */
    readonly recoveryMs: number;
    readonly refusals: Readonly<Record<string, number>>;
}

const BIN_MS = 250;
/** A bin of this length gives enough samples of the kinds that count. */
const WINDOW_MS = 1_000;
const TOLERANCE = 0.05;

export function measure(setting: Setting, played: OverloadCase, system: System, seed: number): Figures {
    const simulation = new Simulation({
        setting,
        system,
        seed,
        ...(played.clientRetries === undefined ? {} : { clientRetries: played.clientRetries }),
    });
    const intervals = runCase(simulation, played);
    const during = simulation.sent.filter(sent => intervals.some(({ from, to }) => isIn(sent, from, to)));
    const usefulMs = sum(simulation.sent.filter(sent => sent.ok).map(sent => sent.workMs));
    return {
        weighted: weightedShare(simulation, intervals, played.capacity ?? 1),
        goodput: Object.fromEntries(
            setting.kinds.map(kind => [kind.kind.name, okShare(during.filter(sent => sent.kind === kind))]),
        ),
        vital: okShare(simulation.sent.filter(sent => sent.kind.kind.priority === 0)),
        wasted: 1 - usefulMs / simulation.totalWorkMs,
        attemptsMean: sum(simulation.sent.map(sent => sent.attempts)) / simulation.sent.length,
        extraOverAllowance: simulation.maxExcessRetries,
        recoveryMs: recoveryOf(simulation, intervals.at(-1)!.to),
        refusals: Object.fromEntries([...simulation.refusals].sort(([a], [b]) => a < b ? -1 : 1)),
    };
}

function isIn(sent: SentRequest, from: number, to: number): boolean {
    return sent.at >= from && sent.at < to;
}

export function sum(values: readonly number[]): number {
    return values.reduce((a, b) => a + b, 0);
}

export function okShare(sent: readonly SentRequest[]): number {
    return sent.length === 0 ? 1 : sent.filter(({ ok }) => ok).length / sent.length;
}

/** Worth finished of the requests that arrived in the intervals, as a share of the ideal. */
export function weightedShare(
    simulation: Simulation,
    intervals: readonly Interval[],
    capacity: number,
): number {
    const sent = simulation.sent.filter(found => intervals.some(({ from, to }) => isIn(found, from, to)));
    return worthOf(sent) / idealWorth(simulation.setting, sent, intervals, capacity);
}

function worthOf(sent: readonly SentRequest[]): number {
    return sum(sent.filter(({ ok }) => ok).map(({ kind }) => kind.kind.worth));
}

/**
 * Worth that an ideal controller could finish: the requests with the highest worth first, as far as the slots of the
 * bottleneck go, which each request passes once. When the bottleneck is slowed, a part of the requests misses its
 * deadline even on an idle target, and holds its slot until then.
 */
function idealWorth(
    setting: Setting,
    sent: readonly SentRequest[],
    intervals: readonly Interval[],
    capacity: number,
): number {
    const durationMs = sum(intervals.map(({ from, to }) => to - from));
    const { instances, slots, serviceMs } = serviceOf(setting, setting.bottleneck);
    const meanMs = serviceMs / capacity;
    let restMs = instances * slots * durationMs;
    let worth = 0;
    for (const { kind: { kind } } of [...sent].sort((a, b) => b.kind.kind.worth - a.kind.kind.worth)) {
        const inTime = 1 - Math.exp(-kind.deadlineMs / meanMs);
        restMs -= meanMs * inTime;
        if (restMs < 0) break;
        worth += kind.worth * inTime;
    }
    return worth;
}

/**
 * First time after the overload from which on two windows in a row are back: the worth of the finished requests as a
 * share of the offered, and the mean latency of each of the two highest priorities with worth, within 5 % of
 * before. Sampling error of two standard errors is allowed for, since service times are exponential.
 */
export function recoveryOf(simulation: Simulation, endedAt: number): number {
    const before = simulation.sent.filter(sent =>
        isIn(sent, simulation.startedAt + 3_000, simulation.startedAt + BEFORE_MS)
    );
    const isBack = (at: number) =>
        isWindowBack(simulation, before, simulation.sent.filter(sent => isIn(sent, at, at + WINDOW_MS)));
    for (let at = endedAt; at + 2 * WINDOW_MS <= endedAt + AFTER_MS; at += BIN_MS) {
        if (isBack(at) && isBack(at + WINDOW_MS)) return at - endedAt;
    }
    return Infinity;
}

function isWindowBack(
    simulation: Simulation,
    before: readonly SentRequest[],
    now: readonly SentRequest[],
): boolean {
    const priorities = [
        ...new Set(
            simulation.setting.kinds.filter(({ kind }) => kind.worth > 0).map(({ kind }) => kind.priority),
        ),
    ].sort((a, b) => a - b).slice(0, 2);
    return priorities.every(priority => {
        const select = (all: readonly SentRequest[]) =>
            all.filter(sent => sent.kind.kind.priority === priority);
        const [then, since] = [select(before), select(now)];
        if (okShare(since) < okShare(then) * (1 - TOLERANCE)) return false;
        const [a, b] = [latencyOf(then), latencyOf(since)];
        return b.mean <= a.mean * (1 + TOLERANCE) + 2 * Math.hypot(a.error, b.error);
    });
}

function latencyOf(sent: readonly SentRequest[]): { readonly mean: number; readonly error: number; } {
    const values = sent.filter(({ ok }) => ok).map(({ at, endedAt }) => endedAt! - at);
    const mean = sum(values) / Math.max(1, values.length);
    const variance = sum(values.map(value => (value - mean) ** 2)) / Math.max(1, values.length - 1);
    return { mean, error: Math.sqrt(variance / Math.max(1, values.length)) };
}
