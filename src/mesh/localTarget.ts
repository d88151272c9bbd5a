/** The target beside this node: what it announces, and what earlier processes of the node knew of it. */
import { steadyNow } from "./clock.ts";
import { TargetHistory } from "./targetHistory.ts";
import type { TargetHistoryOptions } from "./targetHistory.ts";
import { TargetRegistration } from "./targetRegistration.ts";
import type { Announcement } from "./targetRegistration.ts";
import type { TargetRecord } from "./types.ts";

export interface LocalTargetOptions extends Pick<TargetHistoryOptions, "healthPathOf" | "checkHealth"> {
    readonly address: string;
    /** Called after each announcement that was recorded, and after each other change. */
    readonly onRecorded: (previous: TargetRecord | undefined) => void;
    /** Called when it is known whether there was an earlier process of this node. */
    readonly onSettled: (hasEarlierProcess: boolean) => void;
}

export class LocalTarget {
    readonly history: TargetHistory;
    private readonly registration: TargetRegistration;

    constructor(private readonly options: LocalTargetOptions) {
        this.registration = new TargetRegistration(options.address);
        this.history = new TargetHistory({
            healthPathOf: options.healthPathOf,
            checkHealth: options.checkHealth,
            onLeft: target => this.update(() => this.registration.learn(target)),
            onRestored: target =>
                this.update(() => this.record === undefined && this.registration.learn(target)),
            onSettled: (held, hasEarlierProcess) => {
                if (held !== undefined) this.recordAnnouncement(held);
                options.onSettled(hasEarlierProcess);
            },
        });
    }

    get record(): TargetRecord | undefined {
        return this.registration.record;
    }

    onAnnouncement(announcement: Announcement): void {
        if (!this.history.hold(announcement)) this.recordAnnouncement(announcement);
    }

    /** Handles the deregistration of the target with this id. */
    onDeregister(id: string): void {
        this.update(() => this.registration.markGone(id, Date.now()));
    }

    private recordAnnouncement(announcement: Announcement): void {
        this.update(() => this.registration.recordAnnouncement(announcement, steadyNow()));
    }

    private update(change: () => boolean): void {
        const previous = this.record;
        if (change()) this.options.onRecorded(previous);
    }
}
