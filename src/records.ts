/** Bounded records of the non-idempotent requests that this node has started or completed, by idempotency key. */
import type { List, OrderedMap } from "immutable";
import { List as createList, OrderedMap as createOrderedMap } from "immutable";
import type { EventOf } from "./events.ts";
import type { HandedRecord } from "./peerMessages.ts";
import type { Run } from "./runs.ts";
import type { NodeState } from "./state.ts";
import type { RecordedResponse } from "./types.ts";

const MAX_KEYS = 50_000;
/** Bound on the recorded responses of all keys together, in characters of the Base64 bodies and content types. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
/** Used before a configuration has been read. */
const DEFAULT_RESEND_HORIZON_MS = 600_000;

interface RecordBase {
    /** Fingerprint of the first request with the key. A different request must not get its response. */
    readonly fingerprint: string;
    /** When the record entered its state. */
    readonly at: number;
}

export type KeyRecord =
    /** `run` is undefined if the former owner of the key started the run and then handed the key over. */
    | RecordBase & { readonly state: "begun"; readonly run?: number | undefined; }
    /** `answer` is the recorded response. Handed-over records contain it under this name. */
    | RecordBase & { readonly state: "done"; readonly answer?: RecordedResponse | undefined; }
    | RecordBase & { readonly state: "unknown"; };

/** Key that this node minted for a call of its target, recorded so that a retry by the target gets the same key. */
export interface EgressKey {
    readonly key: string;
    readonly at: number;
    /** Number of calls that have used the key. */
    readonly callCount: number;
}

export interface RecordsState {
    /** In the order in which the keys were first used. */
    readonly keys: OrderedMap<string, KeyRecord>;
    /** Keys with recorded responses, oldest first. */
    readonly keysWithResponses: List<string>;
    readonly responseBytes: number;
    /** By request id and fingerprint of the request, oldest first. */
    readonly egressKeys: OrderedMap<string, EgressKey>;
}

export function createRecordsState(): RecordsState {
    return {
        keys: createOrderedMap(),
        keysWithResponses: createList(),
        responseBytes: 0,
        egressKeys: createOrderedMap(),
    };
}

/** How long callers may retry a non-idempotent request. */
export function resendHorizonMs(state: NodeState): number {
    return state.control.config?.configuration.resendHorizonMs ?? DEFAULT_RESEND_HORIZON_MS;
}

/** Whether the limit on records is reached, so that no run with a new key may start. */
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

/** Records how the run of a key ended at the target. */
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
            return putRecord(state, key, { ...base, state: "done", answer: event.response });
        case "unknown":
            return putRecord(state, key, { ...base, state: "unknown" });
    }
}

/**
 * Merges the records of a former owner. A record of this node is replaced only if it is "begun" and was itself handed
 * over, or if it is "unknown" and the other one is "done".
 */
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

/** Converts a record to the form in which it is handed over to another node. */
export function toHandedRecord(key: string, record: KeyRecord, now: number): HandedRecord {
    return {
        key,
        state: record.state,
        fingerprint: record.fingerprint,
        ageMs: Math.max(0, now - record.at),
        ...(record.state === "done" && record.answer !== undefined ? { answer: record.answer } : {}),
    };
}

/**
 * Removes records and egress keys that are older than the horizon, except records of runs in progress on this node.
 * Stops at the first younger record or egress key, so an older one behind it is removed later.
 */
export function expireKeys(state: NodeState, now: number): NodeState {
    const expiredBefore = now - resendHorizonMs(state);
    let { keys, egressKeys, responseBytes } = state.records;
    for (const [key, record] of state.records.keys) {
        if (record.at > expiredBefore) break;
        if (record.state === "begun" && record.run !== undefined) continue;
        if (record.state === "done") responseBytes -= responseBytesOf(record.answer);
        keys = keys.delete(key);
    }
    for (const [id, egressKey] of state.records.egressKeys) {
        if (egressKey.at > expiredBefore) break;
        egressKeys = egressKeys.delete(id);
    }
    if (keys === state.records.keys && egressKeys === state.records.egressKeys) return state;
    return evictResponses(withRecords(state, { keys, egressKeys, responseBytes }));
}

function putRecord(state: NodeState, key: string, record: KeyRecord): NodeState {
    const { records } = state;
    const old = records.keys.get(key);
    const oldBytes = old?.state === "done" ? responseBytesOf(old.answer) : 0;
    const bytes = record.state === "done" ? responseBytesOf(record.answer) : 0;
    return evictResponses(withRecords(state, {
        keys: records.keys.set(key, record),
        keysWithResponses: bytes > 0 ? records.keysWithResponses.push(key) : records.keysWithResponses,
        responseBytes: records.responseBytes + bytes - oldBytes,
    }));
}

/**
 * Removes the oldest responses until the rest fits the size limit. Also removes keys without a completed record from
 * the front of `keysWithResponses`.
 */
function evictResponses(state: NodeState): NodeState {
    let { keys, keysWithResponses, responseBytes } = state.records;
    for (let key = keysWithResponses.first(); key !== undefined; key = keysWithResponses.first()) {
        const record = keys.get(key);
        if (record?.state === "done" && responseBytes <= MAX_RESPONSE_BYTES) break;
        keysWithResponses = keysWithResponses.shift();
        if (record?.state !== "done") continue;
        responseBytes -= responseBytesOf(record.answer);
        keys = keys.set(key, { ...record, answer: undefined });
    }
    return withRecords(state, { keys, keysWithResponses, responseBytes });
}

function responseBytesOf(response: RecordedResponse | undefined): number {
    return response === undefined ? 0 : response.body.length + response.contentType.length;
}

export function withRecords(state: NodeState, changes: Partial<RecordsState>): NodeState {
    return { ...state, records: { ...state.records, ...changes } };
}
