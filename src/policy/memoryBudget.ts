/**
 * Bounds the bytes that a node holds for clients and other nodes, and decides which holder has to release its bytes when
 * they are used up. Holders with few bytes have a part of the budget of their own, so that large bodies never displace
 * small requests. Bytes are counted as they arrive, not as they are announced.
 */

/** A holder with more bytes than this counts as large. */
export const MAX_SMALL_BYTES = 64 * 1024;

const BYTES_PER_MB = 1_000_000;
/** Memory of a host if the settings do not state it; the smallest host of the larger deployments has more. */
export const DEFAULT_MEMORY_MB = 350;
/** Resident memory of a node without requests: about 50 MB, and as much for its heap under load. */
const BASE_BYTES = 100 * BYTES_PER_MB;
/** The shares leave room for buffers that have been released but not collected yet. */
const LARGE_REQUEST_SHARE = 0.47;
const RESPONSE_RESERVE_SHARE = 0.06;
const SMALL_SHARE = 0.2;
/** With less memory than `BASE_BYTES`, a node still serves small requests. */
const MIN_BUDGET_BYTES = 20 * BYTES_PER_MB;

/** A body or response without progress for this time may lose its memory to others. */
export const STALL_MS = 500;
/** With nothing stalled, bodies that wait for memory are refused after this time, the latest first. */
const MAX_WAIT_MS = 1000;
/** Share of the small part that is released at once, so that the holders are not searched for each new one. */
const SMALL_RELEASE_SHARE = 0.1;

/**
 * What a holder does with its bytes. `receiving`: a message is incomplete. `waiting`: it is not read on for lack of
 * memory. `sending`: the other side does not take a response. `running`: complete requests wait for their responses.
 */
export type HolderState = "idle" | "receiving" | "waiting" | "sending" | "running";

export interface MemoryHolder {
    readonly heldBytes: number;
    readonly holderState: HolderState;
    /** Time in ms at which bytes last arrived or were taken, or reading was resumed or stopped. */
    readonly progressAt: number;
    /** Time in ms at which the current message began to arrive. */
    readonly messageStartedAt: number;
}

export class MemoryBudget {
    readonly largeRequestLimit: number;
    /** Responses may use more than new bodies, so that bodies that stall do not keep responses away. */
    readonly largeLimit: number;
    readonly smallLimit: number;
    private large = 0;
    private small = 0;
    private reclaim: (() => void) | undefined;
    /** Requests refused, and responses given up, for lack of memory. */
    refusals = 0;
    /** Connections closed because of unread responses, or of their number. */
    closedConnections = 0;

    constructor(memoryMb: number = DEFAULT_MEMORY_MB) {
        const bytes = Math.max(MIN_BUDGET_BYTES, memoryMb * BYTES_PER_MB - BASE_BYTES);
        this.largeRequestLimit = bytes * LARGE_REQUEST_SHARE;
        this.largeLimit = bytes * (LARGE_REQUEST_SHARE + RESPONSE_RESERVE_SHARE);
        this.smallLimit = bytes * SMALL_SHARE;
    }

    get largeBytes(): number {
        return this.large;
    }

    get smallBytes(): number {
        return this.small;
    }

    /** Bytes that bodies of requests may still take. */
    get requestRoom(): number {
        return this.largeRequestLimit - this.large;
    }

    get isSmallPartFull(): boolean {
        return this.small >= this.smallLimit;
    }

    get isLargePartFull(): boolean {
        return this.large >= this.largeLimit;
    }

    /** Sets the function that `tryResize` calls to release bytes of responses that are not being read. */
    setReclaim(reclaim: () => void): void {
        this.reclaim = reclaim;
    }

    /** Changes the number of bytes of a holder, also beyond the limits. */
    resize(fromBytes: number, toBytes: number): void {
        if (fromBytes > MAX_SMALL_BYTES) this.large -= fromBytes;
        else this.small -= fromBytes;
        if (toBytes > MAX_SMALL_BYTES) this.large += toBytes;
        else this.small += toBytes;
    }

    /** Changes the number of bytes of a holder unless they do not fit; returns whether they fit. */
    tryResize(fromBytes: number, toBytes: number, kind: "request" | "response"): boolean {
        const isLarge = toBytes > MAX_SMALL_BYTES;
        const addedBytes = toBytes - (isLarge === fromBytes > MAX_SMALL_BYTES ? fromBytes : 0);
        const limit = !isLarge
            ? this.smallLimit
            : kind === "request"
            ? this.largeRequestLimit
            : this.largeLimit;
        const mustReclaim = (isLarge ? this.large : this.small) + addedBytes > limit;
        if (mustReclaim) this.reclaim?.();
        if ((isLarge ? this.large : this.small) + addedBytes > limit) {
            this.refusals++;
            return false;
        }
        this.resize(fromBytes, toBytes);
        return true;
    }
}

/** Chooses the small holders that release their bytes when the small part is full: those without progress longest. */
export function chooseSmallVictims<H extends MemoryHolder>(
    holders: Iterable<H>,
    budget: MemoryBudget,
): readonly H[] {
    const candidates = [...holders].filter(({ heldBytes, holderState }) =>
        heldBytes > 0 && heldBytes <= MAX_SMALL_BYTES && holderState !== "running"
    );
    return longestStalled(
        candidates,
        budget.smallBytes - budget.smallLimit * (1 - SMALL_RELEASE_SHARE),
    );
}

/** Chooses responses that are not being read, those without progress longest, until the large part has room. */
export function chooseUnreadResponses<H extends MemoryHolder>(
    holders: Iterable<H>,
    budget: MemoryBudget,
): readonly H[] {
    const excessBytes = budget.largeBytes - budget.largeRequestLimit;
    return longestStalled([...holders].filter(({ holderState }) => holderState === "sending"), excessBytes);
}

/**
 * Chooses the large holders that release their bytes while bodies wait for memory: stalled ones, and if there are none
 * and the wait has become too long, the waiting body that began last. The first ones can so be completed.
 */
export function chooseLargeVictims<H extends MemoryHolder>(
    holders: Iterable<H>,
    budget: MemoryBudget,
    now: number,
): readonly H[] {
    if (budget.requestRoom > 0) return [];
    const all = [...holders];
    const stalled = all.filter(({ holderState, progressAt }) =>
        (holderState === "receiving" || holderState === "sending") && now - progressAt >= STALL_MS
    );
    if (stalled.length > 0) return longestStalled(stalled, 1 - budget.requestRoom);
    const waiting = all.filter(({ holderState }) => holderState === "waiting");
    if (!waiting.some(({ progressAt }) => now - progressAt >= MAX_WAIT_MS)) return [];
    return [waiting.reduce((a, b) => b.messageStartedAt >= a.messageStartedAt ? b : a)];
}

/** Chooses the bodies to be read on: those that began first, as far as there is room for some pieces of each. */
export function chooseResumed<H extends MemoryHolder>(
    holders: Iterable<H>,
    budget: MemoryBudget,
): readonly H[] {
    const count = Math.ceil(budget.requestRoom / ROOM_PER_RESUMED_BODY);
    if (count <= 0) return [];
    return [...holders].filter(({ holderState }) => holderState === "waiting")
        .sort((a, b) => a.messageStartedAt - b.messageStartedAt)
        .slice(0, count);
}

/** Room for which one waiting body is read on; with less, many bodies would take it and none would be completed. */
const ROOM_PER_RESUMED_BODY = 8 * BYTES_PER_MB;

function longestStalled<H extends MemoryHolder>(holders: H[], bytes: number): readonly H[] {
    const victims: H[] = [];
    let releasedBytes = 0;
    for (const holder of holders.sort((a, b) => a.progressAt - b.progressAt)) {
        if (releasedBytes >= bytes) break;
        victims.push(holder);
        releasedBytes += holder.heldBytes;
    }
    return victims;
}
