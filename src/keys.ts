/**
 * Idempotency keys of non-idempotent requests, and which member of a view owns a key. Keys from callers and minted
 * keys, which nodes generate, have different prefixes, so that no caller can forge a minted key.
 */
import { createHash, hash } from "node:crypto";
import { parse as parseUuid, validate as isUuid, version as uuidVersion } from "uuid";
import type { Member, View } from "./types.ts";

const MINTED_PREFIX = "minted:";
/** A longer key from a caller is replaced by its hash, because a key in `fp-call` has at most 256 characters. */
const MAX_CALLER_KEY_LENGTH = 200;
/**
 * Keys map to buckets, and buckets to members by rendezvous hashing, so that a lookup computes one hash instead of one
 * per member. With 4,096 buckets, the shares of 20 members have a standard deviation of about 7 % of their mean.
 */
const KEY_BUCKETS = 4_096;
/** Tolerated difference between the clock of the caller that created a UUIDv7 key and this node's clock. */
const CLOCK_TOLERANCE_MS = 60_000;

/** Internal form of a key that the sender of a request supplied. */
export function callerKey(from: "entry" | "egress", key: string): string {
    if (key.length <= MAX_CALLER_KEY_LENGTH) return `${from}:${key}`;
    return `${from}-sha256:${createHash("sha256").update(key).digest("hex")}`;
}

export interface MintedKey {
    /** Log offset up to which the minting node had read the control log. */
    readonly offset: number;
    /** Id of the member that owns the key for as long as that member is in the view. */
    readonly ownerId: string;
    /** Unique among all nodes, because it includes the id of the minting node. */
    readonly serial: string;
}

export function formatMintedKey({ offset, ownerId, serial }: MintedKey): string {
    return `${MINTED_PREFIX}${offset}:${ownerId}:${serial}`;
}

export function isMintedKey(key: string): boolean {
    return key.startsWith(MINTED_PREFIX);
}

/** Parses a minted key. Returns undefined for a key from a caller. */
export function parseMintedKey(key: string): MintedKey | undefined {
    if (!isMintedKey(key)) return undefined;
    const [, offset, ownerId, serial] = key.split(":", 4);
    return { offset: Number(offset), ownerId: ownerId ?? "", serial: serial ?? "" };
}

/** Age in ms of a UUIDv7 key by the wall clock; undefined for any other key. */
export function uuidAgeMs(key: string, wallNow: number): number | undefined {
    if (!isUuid(key) || uuidVersion(key) !== 7) return undefined;
    const bytes = parseUuid(key);
    let createdAtMs = 0;
    for (const byte of bytes.slice(0, 6)) createdAtMs = createdAtMs * 256 + byte;
    return wallNow - createdAtMs;
}

/** Whether a key may be so old that the record of its first run expires before the deadline of a request. */
export function isKeyExpired(keyAgeMs: number, horizonMs: number, deadlineMs: number): boolean {
    return keyAgeMs > horizonMs - CLOCK_TOLERANCE_MS - deadlineMs;
}

/** The only member of a view that may run requests with a key. */
export function ownerOf(view: View, key: string): Member | undefined {
    const id = ownerIdOf(memberIdsOf(view), key);
    return id === undefined ? undefined : view.members.find(member => member.id === id);
}

/** Id of the owner of a key, given the ids of all members of a view. */
export function ownerIdOf(ids: readonly string[], key: string): string | undefined {
    const embeddedOwnerId = parseMintedKey(key)?.ownerId;
    if (embeddedOwnerId !== undefined && ids.includes(embeddedOwnerId)) return embeddedOwnerId;
    if (ids.length <= 1) return ids[0];
    const bucket = Number.parseInt(hash("sha256", key).slice(0, 4), 16) % KEY_BUCKETS;
    let owners = bucketOwnerCache.get(ids);
    if (owners === undefined) {
        owners = [];
        bucketOwnerCache.set(ids, owners);
    }
    return owners[bucket] ??= ownerOfBucket(ids, bucket);
}

/** Owners of buckets, computed on first use. They depend only on the member ids, which are the cache's keys. */
const bucketOwnerCache = new WeakMap<readonly string[], string[]>();
const memberIdCache = new WeakMap<readonly Member[], readonly string[]>();

/** Ids of a view's members. Returns the same array for the same view, because it serves as a cache key. */
export function memberIdsOf(view: View): readonly string[] {
    let ids = memberIdCache.get(view.members);
    if (ids === undefined) {
        ids = view.members.map(member => member.id);
        memberIdCache.set(view.members, ids);
    }
    return ids;
}

function ownerOfBucket(ids: readonly string[], bucket: number): string {
    let best = "";
    let bestScore = "";
    for (const id of ids) {
        const score = hash("sha256", `${id}\0${bucket}`, "hex");
        if (best === "" || score > bestScore) {
            best = id;
            bestScore = score;
        }
    }
    return best;
}
