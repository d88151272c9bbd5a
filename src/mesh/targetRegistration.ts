/**
 * What the target beside this node says of itself. Announcements may come late, twice or from an earlier start of
 * the target; the start time and then the sequence number decide which one counts.
 */
import type { TargetRecord, TargetState } from "./types.ts";

export interface Announcement {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    readonly state: TargetState;
    readonly slots: number;
    readonly sequence: number;
    /** Unix time in ms at which the target started. */
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

    /** Takes what an earlier process of this node knew, unless the target has announced itself since. */
    restore(record: TargetRecord): boolean {
        if (this.latest !== undefined) return false;
        this.latest = { ...record, address: this.address, sequence: -1 };
        return true;
    }

    /** Takes an announcement; returns whether it counts. */
    announce(announcement: Announcement): boolean {
        if (announcement.address !== this.address) return false;
        const { latest } = this;
        if (latest !== undefined && !isNewer(announcement, latest)) return false;
        const isSameStart = latest?.id === announcement.id && latest.bornAt === announcement.bornAt;
        if (isSameStart && latest.state !== "ready" && announcement.state === "ready") return false;
        this.latest = announcement;
        return true;
    }

    /** The target with this id ends. Returns whether it is the present one. */
    leave(id: string): boolean {
        if (this.latest?.id !== id || this.latest.state === "gone") return false;
        this.latest = { ...this.latest, state: "gone" };
        return true;
    }
}

function isNewer(announcement: Announcement, latest: Announcement): boolean {
    if (announcement.bornAt !== latest.bornAt) return announcement.bornAt > latest.bornAt;
    return announcement.id !== latest.id || announcement.sequence > latest.sequence;
}
