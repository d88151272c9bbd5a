/**
 * What earlier processes of this node knew of the local target, according to the store and to other nodes. A target that
 * was ready is used again before its next heartbeat, if it is healthy. A target that had begun to leave stays so: its
 * late heartbeats say `ready`, so no such heartbeat is believed before it is settled whether the target had left.
 *
 * The store may hold a record that is out of date, because the earlier process could not write that the target left.
 * Other nodes were told so directly. Therefore, both are asked.
 */
import { safeParseNodeRecord } from "./nodeDirectory.ts";
import { isSameStart, mergeTargets } from "./targetRecords.ts";
import type { Announcement } from "./targetRegistration.ts";
import type { TargetRecord } from "./types.ts";

export interface TargetHistoryOptions {
    /** Path of a service's health check; `undefined` while the service is not configured. */
    readonly healthPathOf: (service: string) => string | undefined;
    /** Calls back with the instance id of a healthy target, or `undefined`. */
    readonly checkHealth: (path: string, onChecked: (healthyId: string | undefined) => void) => void;
    /** Called with each record of a target that has begun to leave, also later than `onSettled`. */
    readonly onLeft: (target: TargetRecord) => void;
    readonly onRestored: (target: TargetRecord) => void;
    /** Called when it is settled whether the target had left, with the latest announcement held back, if any. */
    readonly onSettled: (held: Announcement | undefined, hasEarlierProcess: boolean) => void;
}

/** How long to wait for what other nodes know of this one. All nodes may have restarted, and know nothing more. */
const PEER_ANSWER_TIMEOUT_MS = 250;
/**
 * How long to wait, once a configuration is in force, for the first record from the store or from another node. Without
 * a configuration, no request can reach the target anyway.
 */
const FIRST_RECORD_TIMEOUT_MS = 1000;

export class TargetHistory {
    private known: TargetRecord | undefined;
    private held: Announcement | undefined;
    private settleTimer: NodeJS.Timeout | undefined;
    private isAskingPeers = false;
    /** Assumed unless the store has shown otherwise. */
    private hasEarlierProcess = true;
    private isSettled = false;
    private isClosed = false;

    constructor(private readonly options: TargetHistoryOptions) {}

    /** Whether other nodes are to be asked for their record of this node. */
    get isWaiting(): boolean {
        return !this.isSettled && !this.isClosed;
    }

    /** Returns whether an announcement was held back until it is settled whether the target had left. */
    hold(announcement: Announcement): boolean {
        if (this.isSettled || announcement.state !== "ready") return false;
        const { held } = this;
        const isNewer = held === undefined || announcement.bornAt > held.bornAt
            || isSameStart(announcement, held) && announcement.sequence > held.sequence;
        if (isNewer) this.held = announcement;
        return true;
    }

    /** Handles the target, if any, in the stored record of an earlier process of this node. */
    onStoredTarget(target: TargetRecord | undefined): void {
        if (target !== undefined) this.learn(target);
        this.settleAfterPeers();
    }

    /** Handles the end of the first read of the store. Without a stored record, there was no earlier process. */
    onStoreRead(): void {
        if (this.isAskingPeers) return;
        this.hasEarlierProcess = false;
        this.settle();
    }

    /** Handles another node's record of this node. */
    onPeerRecord(input: unknown): void {
        const target = safeParseNodeRecord(input)?.target;
        // A node that knows nothing may have restarted as well, so the store may know more.
        if (target === undefined) return;
        this.learn(target);
        this.settleAfterPeers();
    }

    /** Handles a new configuration, with which the target's service may have become known. */
    onConfig(): void {
        if (this.isSettled) this.tryRestore();
        else this.settleTimer ??= setTimeout(() => this.settle(), FIRST_RECORD_TIMEOUT_MS);
    }

    /** Ends the wait for records, and gives up a target that was not restored yet. */
    close(): void {
        this.isClosed = true;
        clearTimeout(this.settleTimer);
        this.known = undefined;
    }

    private learn(target: TargetRecord): void {
        if (target.state !== "ready") this.options.onLeft(target);
        if (!this.isSettled) this.known = mergeTargets(this.known, target);
    }

    private settleAfterPeers(): void {
        if (this.isAskingPeers || !this.isWaiting) return;
        this.isAskingPeers = true;
        clearTimeout(this.settleTimer);
        this.settleTimer = setTimeout(() => this.settle(), PEER_ANSWER_TIMEOUT_MS);
    }

    private settle(): void {
        if (!this.isWaiting) return;
        this.isSettled = true;
        clearTimeout(this.settleTimer);
        this.options.onSettled(this.held, this.hasEarlierProcess);
        if (this.held !== undefined) this.known = undefined;
        this.tryRestore();
    }

    /** Checks the target's health if it was ready and its service is configured. */
    private tryRestore(): void {
        const { known } = this;
        if (known?.state !== "ready" || this.isClosed) return;
        const path = this.options.healthPathOf(known.service);
        if (path === undefined) return;
        this.known = undefined;
        this.options.checkHealth(path, healthyId => {
            if (healthyId === known.id && !this.isClosed) this.options.onRestored(known);
        });
    }
}
