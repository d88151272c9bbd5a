/**
 * State of the local target, as the target announces it in its heartbeats. Announcements may arrive late, twice or from
 * an earlier start of the target. The one with the latest start time, then the highest sequence number, is valid.
 */
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

export class TargetRegistration {
    private latest: Announcement | undefined;

    constructor(private readonly address: string) {}

    get record(): TargetRecord | undefined {
        if (this.latest === undefined) return undefined;
        const { id, service, state, slots, bornAt } = this.latest;
        return { id, service, state, slots, bornAt };
    }

    /** Restores a record from an earlier process of this node. Returns false if the target has announced itself. */
    restore(record: TargetRecord): boolean {
        if (this.latest !== undefined) return false;
        // The sequence number is not stored; -1 lets the next announcement of the same start count as newer.
        this.latest = { ...record, address: this.address, sequence: -1 };
        return true;
    }

    /**
     * Records an announcement. Returns false if it is stale, names another address, or reports a draining or gone
     * target as ready again without a new start.
     */
    recordAnnouncement(announcement: Announcement): boolean {
        if (announcement.address !== this.address) return false;
        const { latest } = this;
        if (latest !== undefined && !isNewer(announcement, latest)) return false;
        const isSameStart = latest?.id === announcement.id && latest.bornAt === announcement.bornAt;
        if (isSameStart && latest.state !== "ready" && announcement.state === "ready") return false;
        this.latest = announcement;
        return true;
    }

    /** Marks the target as gone. Returns false if the target has another id or is gone already. */
    markGone(id: string): boolean {
        if (this.latest?.id !== id || this.latest.state === "gone") return false;
        this.latest = { ...this.latest, state: "gone" };
        return true;
    }
}

/** Of two targets with the same start time, the one that is announced later counts as newer. */
function isNewer(announcement: Announcement, latest: Announcement): boolean {
    if (announcement.bornAt !== latest.bornAt) return announcement.bornAt > latest.bornAt;
    return announcement.id !== latest.id || announcement.sequence > latest.sequence;
}
