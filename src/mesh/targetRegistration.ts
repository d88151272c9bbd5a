/**
 * State of the local target, as the target announces it in its heartbeats. Announcements may arrive late, twice or from
 * an earlier start of the target. The one with the latest start time, then the highest sequence number, is valid. Within
 * one start, the state only advances from `ready` to `draining` to `gone`, whatever the order of arrival.
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

/** Maximum number of deregistered targets of which no record was known. */
const MAX_UNKNOWN_DEREGISTERED = 16;

export class TargetRegistration {
    private latest: Announcement | undefined;
    /** Unix time in ms at which targets deregistered that are not the latest one, by their ids. */
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
     * Records an announcement. Returns false if it is stale, names another address, or reports a draining or gone
     * target as ready again without a new start.
     */
    recordAnnouncement(received: Announcement): boolean {
        if (received.address !== this.address) return false;
        const announcement = this.withDeregistration(received);
        const { latest } = this;
        if (latest === undefined || isNewerStart(announcement, latest)) {
            this.accept(announcement);
            return true;
        }
        if (!isSameStart(announcement, latest)) return false;
        if (announcement.sequence <= latest.sequence) return false;
        if (latest.state !== "ready" && announcement.state === "ready") return false;
        this.accept({ ...announcement, state: mergeTargets(latest, announcement).state });
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
    }

    /** Applies a deregistration that arrived before the record. A later start under the same id is not affected. */
    private withDeregistration<T extends TargetRecord>(record: T): T {
        const at = this.deregisteredAt.get(record.id);
        return at === undefined || record.bornAt > at ? record : { ...record, state: "gone" };
    }
}

/** Of two targets with the same start time and different ids, the one that is announced later counts as newer. */
function isNewerStart(announcement: Announcement, latest: Announcement): boolean {
    if (announcement.bornAt !== latest.bornAt) return announcement.bornAt > latest.bornAt;
    return announcement.id !== latest.id;
}
