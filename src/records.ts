/** Keys of non-idempotent requests that this node has begun or finished, within bounds. */
import type { List, OrderedMap } from "immutable";
import { List as createList, OrderedMap as createOrderedMap } from "immutable";
import type { EventOf } from "./events.ts";
import type { HandedRecord } from "./peerMessages.ts";
import type { Run } from "./runs.ts";
import type { NodeState } from "./state.ts";
import type { RecordedAnswer } from "./types.ts";

const MAX_KEYS = 50_000;
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** The horizon until a configuration has been read. */
const DEFAULT_HORIZON_MS = 600_000;

interface RecordBase {
    /** Of the request that used the key first; another request must not get its answer. */
    readonly fingerprint: string;
    /** When the record got its state. */
    readonly at: number;
}

export type KeyRecord =
    /** `run` is undefined for a run at the former owner of a key that was handed over. */
    | RecordBase & { readonly state: "begun"; readonly run?: number | undefined; }
    | RecordBase & { readonly state: "done"; readonly answer?: RecordedAnswer | undefined; }
    | RecordBase & { readonly state: "unknown"; };

/** The key that an egress node keeps for a target's call, so that a blind resend joins the first call. */
export interface EgressKey {
    readonly key: string;
    readonly at: number;
    /** Calls that have used the key. */
    readonly calls: number;
}

export interface RecordsState {
    /** In the order in which the keys were begun. */
    readonly keys: OrderedMap<string, KeyRecord>;
    /** Keys whose answers are kept, oldest first. */
    readonly answered: List<string>;
    readonly answerBytes: number;
    /** By request id and fingerprint, oldest first. */
    readonly egressKeys: OrderedMap<string, EgressKey>;
}

export function createRecordsState(): RecordsState {
    return {
        keys: createOrderedMap(),
        answered: createList(),
        answerBytes: 0,
        egressKeys: createOrderedMap(),
    };
}

/** How long callers may resend a request. */
export function resendHorizonMs(state: NodeState): number {
    return state.control.config?.configuration.resendHorizonMs ?? DEFAULT_HORIZON_MS;
}

/** Whether no further key can be begun. */
export function isKeyLimitReached(state: NodeState, now: number): boolean {
    return expireKeys(state, now).records.keys.size >= MAX_KEYS;
}

export function isEgressKeyLimitReached(state: NodeState): boolean {
    return state.records.egressKeys.size >= MAX_KEYS;
}

export function beginKey(state: NodeState, key: string, run: Run, now: number): NodeState {
    const expired = expireKeys(state, now);
    return putRecord(expired, key, {
        state: "begun",
        run: run.id,
        fingerprint: run.fingerprint,
        at: now,
    });
}

/** Notes how the run of a key ended at the target. */
export function finishKey(
    state: NodeState,
    key: string,
    run: Run,
    event: EventOf<"run_ended">,
): NodeState {
    const record = state.records.keys.get(key);
    if (record?.state !== "begun" || record.run !== run.id) return state;
    const base = { fingerprint: run.fingerprint, at: event.now };
    switch (event.outcome.type) {
        case "not-run":
            return withRecords(state, { keys: state.records.keys.delete(key) });
        case "ran":
            return putRecord(state, key, { ...base, state: "done", answer: event.answer });
        case "unknown":
            return putRecord(state, key, { ...base, state: "unknown" });
    }
}

/** Takes over records of a former owner; what this node knows itself is kept. */
export function mergeHandedRecords(
    state: NodeState,
    handed: readonly HandedRecord[],
    now: number,
): NodeState {
    let next = state;
    for (const { key, fingerprint, ageMs, ...rest } of handed) {
        const known = next.records.keys.get(key);
        const replaces = known === undefined || (known.state === "begun" && known.run === undefined)
            || (known.state === "unknown" && rest.state === "done");
        if (replaces) next = putRecord(next, key, { ...rest, fingerprint, at: now - ageMs });
    }
    return next;
}

/** A record in the form in which it is handed over. */
export function toHandedRecord(key: string, record: KeyRecord, now: number): HandedRecord {
    return {
        key,
        state: record.state,
        fingerprint: record.fingerprint,
        ageMs: Math.max(0, now - record.at),
        ...(record.state === "done" && record.answer !== undefined ? { answer: record.answer } : {}),
    };
}

/** Forgets the oldest records after the horizon. */
export function expireKeys(state: NodeState, now: number): NodeState {
    const expiredBefore = now - resendHorizonMs(state);
    let { keys, egressKeys, answerBytes } = state.records;
    for (const [key, record] of state.records.keys) {
        if (record.at > expiredBefore) break;
        if (record.state === "begun" && record.run !== undefined) continue;
        if (record.state === "done") answerBytes -= answerBytesOf(record.answer);
        keys = keys.delete(key);
    }
    for (const [id, kept] of state.records.egressKeys) {
        if (kept.at > expiredBefore) break;
        egressKeys = egressKeys.delete(id);
    }
    if (keys === state.records.keys && egressKeys === state.records.egressKeys) return state;
    return dropAnswers(withRecords(state, { keys, egressKeys, answerBytes }));
}

function putRecord(state: NodeState, key: string, record: KeyRecord): NodeState {
    const { records } = state;
    const old = records.keys.get(key);
    const oldBytes = old?.state === "done" ? answerBytesOf(old.answer) : 0;
    const bytes = record.state === "done" ? answerBytesOf(record.answer) : 0;
    return dropAnswers(withRecords(state, {
        keys: records.keys.set(key, record),
        answered: bytes > 0 ? records.answered.push(key) : records.answered,
        answerBytes: records.answerBytes + bytes - oldBytes,
    }));
}

/** Drops the oldest answers above the bound, and those whose keys have expired. */
function dropAnswers(state: NodeState): NodeState {
    let { keys, answered, answerBytes } = state.records;
    for (let key = answered.first(); key !== undefined; key = answered.first()) {
        const record = keys.get(key);
        if (record?.state === "done" && answerBytes <= MAX_ANSWER_BYTES) break;
        answered = answered.shift();
        if (record?.state !== "done") continue;
        answerBytes -= answerBytesOf(record.answer);
        keys = keys.set(key, { ...record, answer: undefined });
    }
    return withRecords(state, { keys, answered, answerBytes });
}

function answerBytesOf(answer: RecordedAnswer | undefined): number {
    return answer === undefined ? 0 : answer.body.length + answer.contentType.length;
}

export function withRecords(state: NodeState, changes: Partial<RecordsState>): NodeState {
    return { ...state, records: { ...state.records, ...changes } };
}
