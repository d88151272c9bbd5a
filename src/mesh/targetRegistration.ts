/**
 * State of the local target, as the target announces it in its heartbeats. Announcements may arrive late, twice or from
 * an earlier start of the target. The one with the latest start time, then the highest sequence number, is valid. Within
 * one start, the state only advances from `ready` to `draining` to `gone`, whatever the order of arrival. If the clock
 * was set back between two starts, the current one has the earlier time; see `hasReplaced`.
 */
import { isSameStart, mergeTargets } from "./targetRecords.ts";
import type { TargetRecord, TargetState } from "./types.ts";

export interface Announcement {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    readonly state: TargetState;
    readonly slots: number;
    readonly sequence: number;
    /** Unix time in ms at which the target started; 0 if it does not report it. */
    readonly bornAt: number;
}

/** Announcements of a start whose start time is earlier than that of the latest one. */
interface Challenger {
    readonly id: string;
    readonly bornAt: number;
    readonly sequence: number;
    readonly count: number;
    readonly countedAt: number;
}

/** A target whose clock was set back before its start is accepted after this number of announcements in a row. */
const CHALLENGER_ANNOUNCEMENTS = 3;
/** Delayed announcements of an earlier start can arrive together; those of a running target are further apart. */
const MIN_CHALLENGER_INTERVAL_MS = 700;
/** Largest step by which a clock is expected to be set back between two starts. */
const MAX_CLOCK_STEP_MS = 60_000;
/** Maximum number of deregistered targets of which no record was known. */
const MAX_UNKNOWN_DEREGISTERED = 16;

export class TargetRegistration {
    private latest: Announcement | undefined;
    private challenger: Challenger | undefined;
    /** The start that a challenger has replaced, whose late announcements look newer. */
    private replaced: Announcement | undefined;
    /** Deregistrations of targets other than the latest one: Unix time in ms by id. */
    private readonly deregisteredAt = new Map<string, number>();

    constructor(private readonly address: string) {}

    get record(): TargetRecord | undefined {
        if (this.latest === undefined) return undefined;
        const { id, service, state, slots, bornAt } = this.latest;
        return { id, service, state, slots, bornAt };
    }

    /**
     * Merges a record from an earlier process of this node with what this process knows; see `mergeTargets`. Returns
     * whether the record in force has changed.
     */
    learn(record: TargetRecord): boolean {
        const { latest } = this;
        const merged = mergeTargets(latest, this.withDeregistration(record));
        if (latest !== undefined && isSameStart(latest, merged)) {
            if (latest.state === merged.state) return false;
            this.latest = { ...latest, state: merged.state };
            return true;
        }
        // The sequence number is not stored; -1 lets the next announcement of the same start count as newer.
        this.latest = { ...merged, address: this.address, sequence: -1 };
        return true;
    }

    /**
     * Records an announcement that arrives at `now` (`steadyNow()` time in ms). Returns false if it is stale, names
     * another address, or reports a draining or gone target as ready again without a new start.
     */
    recordAnnouncement(received: Announcement, now: number): boolean {
        if (received.address !== this.address) return false;
        const announcement = this.withDeregistration(received);
        const { latest } = this;
        if (
            latest === undefined || this.isNewerStart(announcement, latest)
            || isLeavingUnderSameId(announcement, latest)
        ) {
            this.accept(announcement);
            return true;
        }
        if (this.hasReplaced(announcement, now)) {
            this.replaced = latest;
            this.accept(announcement);
            return true;
        }
        if (!isSameStart(announcement, latest)) return false;
        this.challenger = undefined;
        const { state } = mergeTargets(latest, announcement);
        // The state advances in any order of arrival; the sequence number may be that of another writer.
        if (announcement.sequence <= latest.sequence && state === latest.state) return false;
        if (latest.state !== "ready" && announcement.state === "ready") return false;
        this.accept(
            announcement.sequence > latest.sequence ? { ...announcement, state } : { ...latest, state },
        );
        return true;
    }

    /**
     * Marks the target as gone. If its record is not known yet, its announcements are recorded as gone, too. `now` is a
     * Unix time in ms. Returns false if the record in force has not changed.
     */
    markGone(id: string, now: number): boolean {
        if (this.latest?.id !== id) {
            const [oldestId] = this.deregisteredAt.keys();
            if (this.deregisteredAt.size >= MAX_UNKNOWN_DEREGISTERED) this.deregisteredAt.delete(oldestId!);
            this.deregisteredAt.set(id, now);
            return false;
        }
        if (this.latest.state === "gone") return false;
        this.latest = { ...this.latest, state: "gone" };
        return true;
    }

    private accept(announcement: Announcement): void {
        this.latest = announcement;
        this.challenger = undefined;
    }

    /** Applies a deregistration that arrived before the record. A later start under the same id is not affected. */
    private withDeregistration<T extends TargetRecord>(record: T): T {
        const at = this.deregisteredAt.get(record.id);
        return at === undefined || record.bornAt > at ? record : { ...record, state: "gone" };
    }

    /** Of two targets with the same start time and different ids, the one that is announced later counts as newer. */
    private isNewerStart(announcement: Announcement, latest: Announcement): boolean {
        if (this.replaced !== undefined && isSameStart(announcement, this.replaced)) return false;
        if (announcement.bornAt !== latest.bornAt) return announcement.bornAt > latest.bornAt;
        return announcement.id !== latest.id;
    }

    /**
     * Whether a start with an earlier start time is the current one, because the clock was set back in between: only it
     * has announced itself for a while, and it has done so repeatedly.
     */
    private hasReplaced({ id, bornAt, sequence }: Announcement, now: number): boolean {
        const { latest, challenger } = this;
        if (latest === undefined || isSameStart({ id, bornAt }, latest)) return false;
        if (challenger === undefined || !isSameStart({ id, bornAt }, challenger)) {
            this.challenger = { id, bornAt, sequence, count: 1, countedAt: now };
            return false;
        }
        if (sequence <= challenger.sequence || now - challenger.countedAt < MIN_CHALLENGER_INTERVAL_MS) {
            return false;
        }
        const count = challenger.count + 1;
        this.challenger = { id, bornAt, sequence, count, countedAt: now };
        return count >= CHALLENGER_ANNOUNCEMENTS;
    }
}

/**
 * Whether another start under the same id says that it leaves, and may be the current one after its clock was set back
 * by seconds. It is believed at once: if it is an earlier start, the next announcement of the current one, which is
 * newer, corrects that.
 */
function isLeavingUnderSameId(announcement: Announcement, latest: Announcement): boolean {
    const stepMs = latest.bornAt - announcement.bornAt;
    return announcement.id === latest.id && announcement.state !== "ready" && stepMs > 0
        && stepMs <= MAX_CLOCK_STEP_MS;
}
