/** Minted keys: the keys that a node gives to non-idempotent requests whose senders supplied none. */
import type { Call } from "./calls.ts";
import type { CallStarted, EventStamp } from "./events.ts";
import { callerKey, formatMintedKey, isMintedKey, memberIdsOf } from "./keys.ts";
import { isRoutable } from "./membership.ts";
import { withRecords } from "./records.ts";
import { chooseMember } from "./routing.ts";
import type { NodeState } from "./state.ts";
import type { Kind } from "./types.ts";

export interface ChosenKey {
    readonly key?: string | undefined;
    /** Id of the entry in `egressKeys` for the key; undefined if the key is not recorded there. */
    readonly egressKeyId?: string | undefined;
}

/** Chooses the key of a new call: the sender's, a recorded one or a new one; none for an idempotent kind. */
export function chooseKey(
    state: NodeState,
    event: CallStarted & EventStamp,
    kind: Kind,
    level: number,
): ChosenKey {
    if (!kind.nonIdempotent) return {};
    if (event.key !== undefined) return { key: callerKey(event.from, event.key) };
    const egressKeyId = event.from === "egress" ? `${event.requestId}:${event.fingerprint}` : undefined;
    const recordedKey = egressKeyId === undefined
        ? undefined
        : state.records.egressKeys.get(egressKeyId)?.key;
    const call = { id: event.call, service: event.service, kind, level, tried: [], nextAttempt: 0 };
    return { key: recordedKey ?? mintKey(state, call, event), egressKeyId };
}

/** Records the key of a target's call and counts its uses, so that a retry without a key gets the same key. */
export function recordEgressKey(state: NodeState, call: Call, now: number): NodeState {
    if (call.egressKeyId === undefined || call.key === undefined) return state;
    const { egressKeys } = state.records;
    const old = egressKeys.get(call.egressKeyId);
    const egressKey = { key: call.key, at: old?.at ?? now, callCount: (old?.callCount ?? 0) + 1 };
    return withRecords(state, { egressKeys: egressKeys.set(call.egressKeyId, egressKey) });
}

/**
 * Gives a call a new minted key, so that another member may own it. This is safe only if all attempts were
 * refused as "not run", because then no target has started the request. A recorded key that several calls use
 * does not change.
 */
export function remintKey(state: NodeState, call: Call, stamp: EventStamp): Call {
    if (call.key === undefined || !isMintedKey(call.key)) return call;
    if (call.nextAttempt === 0 || call.unknownOutcome !== undefined) return call;
    const egressKey = call.egressKeyId === undefined
        ? undefined
        : state.records.egressKeys.get(call.egressKeyId);
    if (call.egressKeyId !== undefined && egressKey?.callCount !== 1) return call;
    return { ...call, key: mintKey(state, call, stamp) };
}

/** Replaces the recorded key of a call after `remintKey`. */
export function updateEgressKey(state: NodeState, call: Call): NodeState {
    const { egressKeys } = state.records;
    const egressKey = call.egressKeyId === undefined ? undefined : egressKeys.get(call.egressKeyId);
    if (call.egressKeyId === undefined || egressKey === undefined || call.key === undefined) return state;
    return withRecords(state, {
        egressKeys: egressKeys.set(call.egressKeyId, { ...egressKey, key: call.key }),
    });
}

function mintKey(
    state: NodeState,
    call: Pick<Call, "id" | "service" | "level" | "tried" | "kind" | "nextAttempt">,
    stamp: EventStamp,
): string {
    return formatMintedKey({
        offset: state.control.offset,
        ownerId: preferredOwner(state, call, stamp) ?? "",
        serial: `${state.self.id}.${call.id}.${call.nextAttempt}`,
    });
}

/** Id of the member that routing chooses, if it is in the view; otherwise of a random routable member of the view. */
function preferredOwner(
    state: NodeState,
    call: Pick<Call, "service" | "level" | "tried" | "kind">,
    stamp: EventStamp,
): string | undefined {
    const view = state.control.views.get(call.service);
    if (view === undefined) return undefined;
    const { service, level, tried, kind } = call;
    const choice = chooseMember(state, {
        service,
        kind: kind.name,
        level,
        tried,
        now: stamp.now,
        rand: stamp.rand,
    });
    if (choice.type === "member" && memberIdsOf(view).includes(choice.member.id)) return choice.member.id;
    const routable = view.members.filter(member => isRoutable(state, member));
    const untried = routable.filter(member => !tried.includes(member.id));
    const members = untried.length > 0 ? untried : routable;
    return members[Math.floor(stamp.rand * members.length)]?.id;
}
