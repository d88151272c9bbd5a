/**
 * Uses the target of an earlier process of this node again, before its next heartbeat. The store may hold a record that
 * is out of date, because the earlier process could not write that the target left. Other nodes were told so directly;
 * therefore, the target is restored only after one of them was asked, or after a short time if none answers.
 */
import { safeParseNodeRecord } from "./nodeDirectory.ts";
import type { TargetRecord } from "./types.ts";

export interface TargetRestorerOptions {
    /** Path of a service's health check; `undefined` while the service is not configured. */
    readonly healthPathOf: (service: string) => string | undefined;
    /** Calls back with the instance id of a healthy target, or `undefined`. */
    readonly checkHealth: (path: string, onChecked: (healthyId: string | undefined) => void) => void;
    readonly onRestored: (target: TargetRecord) => void;
}

/** How long to wait for what another node knows of this one. All nodes may have restarted, and know nothing more. */
const PEER_ANSWER_TIMEOUT_MS = 250;

export class TargetRestorer {
    private candidate: TargetRecord | undefined;
    private isConfirmed = false;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: TargetRestorerOptions) {}

    /** Whether other nodes are to be asked for their record of this node. */
    get isWaiting(): boolean {
        return this.candidate !== undefined;
    }

    /** Starts to restore the target of a stored record. Its state is `ready`. */
    start(target: TargetRecord): void {
        this.candidate = target;
        this.timer = setTimeout(() => this.confirm(), PEER_ANSWER_TIMEOUT_MS);
    }

    /** Handles another node's record of this node. */
    onPeerRecord(input: unknown): void {
        const target = safeParseNodeRecord(input)?.target;
        const { candidate } = this;
        if (candidate === undefined || target === undefined) return;
        const isSameStart = target.id === candidate.id && target.bornAt === candidate.bornAt;
        if (isSameStart && target.state === "ready") this.confirm();
        else this.stop();
    }

    /** Checks the target's health if it may be restored and its service is configured. */
    tryRestore(): void {
        const { candidate } = this;
        if (candidate === undefined || !this.isConfirmed) return;
        const path = this.options.healthPathOf(candidate.service);
        if (path === undefined) return;
        this.stop();
        this.options.checkHealth(path, healthyId => {
            if (healthyId === candidate.id) this.options.onRestored(candidate);
        });
    }

    /** Gives up, e.g. because the target has announced itself. */
    stop(): void {
        clearTimeout(this.timer);
        this.candidate = undefined;
    }

    private confirm(): void {
        this.isConfirmed = true;
        this.tryRestore();
    }
}
