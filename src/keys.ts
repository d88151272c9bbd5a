/**
 * Keys of non-idempotent requests and the member of a view that owns each key. Keys from callers and keys made
 * by nodes have prefixes of their own, so that no caller can pass a key off as a minted one.
 */
import { createHash, hash } from "node:crypto";
import { parse as parseUuid, validate as isUuid, version as uuidVersion } from "uuid";
import type { Member, View } from "./types.ts";

const MINTED_PREFIX = "minted:";
/** A caller's key that is longer is replaced by its hash: a context carries at most 256 characters. */
const MAX_CALLER_KEY_LENGTH = 200;
/**
 * Keys are hashed to slots, and slots to members by rendezvous hashing, so that a look-up costs one hash
 * instead of one per member. 4,096 slots keep the shares of 20 members within about 7 % of each other.
 */
const KEY_SLOTS = 4_096;
const CLOCK_TOLERANCE_MS = 60_000;

/** The key of a request for which its sender supplied one. */
export function callerKey(from: "entry" | "egress", key: string): string {
    if (key.length <= MAX_CALLER_KEY_LENGTH) return `${from}:${key}`;
    return `${from}-sha256:${createHash("sha256").update(key).digest("hex")}`;
}

export interface MintedKey {
    /** Last log offset that the minting node had read. */
    readonly offset: number;
    /** The member that owns the key while it is in the view. */
    readonly ownerId: string;
    /** Unique over all nodes: the id of the minting node and a number of its own. */
    readonly serial: string;
}

export function formatMintedKey({ offset, ownerId, serial }: MintedKey): string {
    return `${MINTED_PREFIX}${offset}:${ownerId}:${serial}`;
}

export function isMintedKey(key: string): boolean {
    return key.startsWith(MINTED_PREFIX);
}

/** The parts of a minted key; undefined for a key from a caller. */
export function parseMintedKey(key: string): MintedKey | undefined {
    if (!isMintedKey(key)) return undefined;
    const [, offset, ownerId, serial] = key.split(":", 4);
    return { offset: Number(offset), ownerId: ownerId ?? "", serial: serial ?? "" };
}

/** Age of a UUIDv7 key by the wall clock; undefined for any other key. */
export function uuidAgeMs(key: string, wallNow: number): number | undefined {
    if (!isUuid(key) || uuidVersion(key) !== 7) return undefined;
    const bytes = parseUuid(key);
    let createdAtMs = 0;
    for (const byte of bytes.slice(0, 6)) createdAtMs = createdAtMs * 256 + byte;
    return wallNow - createdAtMs;
}

/** Whether a key may be so old that the records of its first run have expired. */
export function isKeyExpired(keyAgeMs: number, horizonMs: number, deadlineMs: number): boolean {
    return keyAgeMs > horizonMs - CLOCK_TOLERANCE_MS - deadlineMs;
}

/** The member of a view that alone may run a key. */
export function ownerOf(view: View, key: string): Member | undefined {
    const id = ownerIdOf(memberIdsOf(view), key);
    return id === undefined ? undefined : view.members.find(member => member.id === id);
}

/** The id, among the ids of a view's members, of the owner of a key. */
export function ownerIdOf(ids: readonly string[], key: string): string | undefined {
    const embeddedOwnerId = parseMintedKey(key)?.ownerId;
    if (embeddedOwnerId !== undefined && ids.includes(embeddedOwnerId)) return embeddedOwnerId;
    if (ids.length <= 1) return ids[0];
    const slot = Number.parseInt(hash("sha256", key).slice(0, 4), 16) % KEY_SLOTS;
    let owners = slotOwnerCache.get(ids);
    if (owners === undefined) {
        owners = [];
        slotOwnerCache.set(ids, owners);
    }
    return owners[slot] ??= ownerOfSlot(ids, slot);
}

/** Owners of the slots seen so far; a pure function of the ids, kept for as long as they are. */
const slotOwnerCache = new WeakMap<readonly string[], string[]>();
const memberIdCache = new WeakMap<readonly Member[], readonly string[]>();

/** The ids of a view's members; the same array for the same view. */
export function memberIdsOf(view: View): readonly string[] {
    let ids = memberIdCache.get(view.members);
    if (ids === undefined) {
        ids = view.members.map(member => member.id);
        memberIdCache.set(view.members, ids);
    }
    return ids;
}

function ownerOfSlot(ids: readonly string[], slot: number): string {
    let best = "";
    let bestScore = "";
    for (const id of ids) {
        const score = hash("sha256", `${id}\0${slot}`, "hex");
        if (best === "" || score > bestScore) {
            best = id;
            bestScore = score;
        }
    }
    return best;
}
