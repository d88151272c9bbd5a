/**
 * Requests that may crash the targets that run them. All requests in progress at a crash become suspects, identified by
 * a fingerprint of what the caller sends. A request that crashes its targets is never answered, so a suspect is cleared
 * as soon as a target answers a request with the same fingerprint. A suspect that was in progress at three crashes
 * without an answer in between is blocked for a while, longer each time. Every node keeps its own copy of the suspects.
 *
 * Load this answers: a few such requests among many others. Targets that crash for another reason, e.g. under an
 * overload, have many unanswered requests; then none of them is blocked.
 */
export interface SuspectState {
    readonly fingerprint: string;
    /** Ids of the crashes at which the request was in progress. */
    readonly crashes: readonly string[];
    /** How often the request was blocked. */
    readonly blocks: number;
    /** Time in ms for which it remains blocked. */
    readonly blockedForMs: number;
}

interface Suspect {
    readonly crashes: Set<string>;
    crashedAt: number;
    blocks: number;
    blockedUntil: number;
}

const CRASHES_UNTIL_BLOCKED = 3;
/** If one crash would block more suspects than this, the requests are not its cause. */
const MAX_CULPRITS_PER_CRASH = 4;
const FIRST_BLOCK_MS = 60_000;
const BLOCK_GROWTH = 8;
const MAX_BLOCK_MS = 24 * 3_600_000;
/** Time in which a request that was admitted after its block must prove harmless, before another one is admitted. */
const TRIAL_MS = 10_000;
/** Time without a crash after which a suspect that is not blocked is forgotten. */
const RETENTION_MS = 600_000;
const MAX_SUSPECTS = 512;

export class CrashSuspects {
    private readonly suspects = new Map<string, Suspect>();

    get isEmpty(): boolean {
        return this.suspects.size === 0;
    }

    has(fingerprint: string): boolean {
        return this.suspects.has(fingerprint);
    }

    /** Records a crash, at which requests with these fingerprints were in progress. Returns those that it blocked. */
    recordCrash(crashId: string, fingerprints: readonly string[], now: number): readonly string[] {
        this.forgetExpired(now);
        const culprits: Suspect[] = [];
        const culpritFingerprints: string[] = [];
        for (const fingerprint of fingerprints) {
            const suspect = this.suspectOf(fingerprint, now);
            if (suspect.crashes.has(crashId)) continue;
            suspect.crashes.add(crashId);
            suspect.crashedAt = now;
            if (suspect.crashes.size < CRASHES_UNTIL_BLOCKED) continue;
            culprits.push(suspect);
            culpritFingerprints.push(fingerprint);
        }
        if (culprits.length > MAX_CULPRITS_PER_CRASH) return [];
        for (const suspect of culprits) block(suspect, now);
        if (culprits.length > 0) this.clearAttributed();
        return culpritFingerprints;
    }

    /** Removes suspects of which a target has answered a request. */
    clear(fingerprints: readonly string[]): void {
        for (const fingerprint of fingerprints) this.suspects.delete(fingerprint);
    }

    /** Time in ms for which a request remains blocked, 0 if it is not. */
    blockedForMs(fingerprint: string, now: number): number {
        return Math.max(0, (this.suspects.get(fingerprint)?.blockedUntil ?? 0) - now);
    }

    /** Admits a request unless it is blocked. The first one after a block is a trial, and others wait for its end. */
    admit(fingerprint: string, now: number): boolean {
        const suspect = this.suspects.get(fingerprint);
        if (suspect === undefined || suspect.blocks === 0) return true;
        if (now < suspect.blockedUntil) return false;
        suspect.blockedUntil = now + TRIAL_MS;
        return true;
    }

    /** The suspects, for a node that has just started. */
    states(now: number): readonly SuspectState[] {
        return [...this.suspects].map(([fingerprint, { crashes, blocks, blockedUntil }]) => ({
            fingerprint,
            crashes: [...crashes],
            blocks,
            blockedForMs: Math.max(0, blockedUntil - now),
        }));
    }

    /** Merges the suspects of another node. */
    merge(states: readonly SuspectState[], now: number): void {
        for (const { fingerprint, crashes, blocks, blockedForMs } of states) {
            const suspect = this.suspectOf(fingerprint, now);
            for (const crash of crashes.slice(0, CRASHES_UNTIL_BLOCKED)) suspect.crashes.add(crash);
            suspect.blocks = Math.max(suspect.blocks, blocks);
            suspect.blockedUntil = Math.max(suspect.blockedUntil, now + Math.min(blockedForMs, MAX_BLOCK_MS));
        }
    }

    private suspectOf(fingerprint: string, now: number): Suspect {
        let suspect = this.suspects.get(fingerprint);
        if (suspect === undefined) {
            if (this.suspects.size >= MAX_SUSPECTS) this.evictOne();
            suspect = { crashes: new Set(), crashedAt: now, blocks: 0, blockedUntil: 0 };
            this.suspects.set(fingerprint, suspect);
        }
        return suspect;
    }

    /** Evicts the oldest suspect that was never blocked or, if there is none, the oldest one. */
    private evictOne(): void {
        let [evicted] = this.suspects.keys();
        for (const [fingerprint, { blocks }] of this.suspects) {
            if (blocks > 0) continue;
            evicted = fingerprint;
            break;
        }
        this.suspects.delete(evicted!);
    }

    /** Clears the suspects all of whose crashes have a blocked request as their cause. */
    private clearAttributed(): void {
        const attributed = new Set<string>();
        for (const { blocks, crashes } of this.suspects.values()) {
            if (blocks > 0) { for (const crash of crashes) attributed.add(crash); }
        }
        for (const [fingerprint, { blocks, crashes }] of this.suspects) {
            const isAttributed = [...crashes].every(crash => attributed.has(crash));
            if (blocks === 0 && isAttributed) this.suspects.delete(fingerprint);
        }
    }

    private forgetExpired(now: number): void {
        for (const [fingerprint, { crashedAt, blockedUntil }] of this.suspects) {
            if (now > Math.max(crashedAt, blockedUntil) + RETENTION_MS) this.suspects.delete(fingerprint);
        }
    }
}

function block(suspect: Suspect, now: number): void {
    suspect.blockedUntil = now + Math.min(MAX_BLOCK_MS, FIRST_BLOCK_MS * BLOCK_GROWTH ** suspect.blocks);
    suspect.blocks++;
}
