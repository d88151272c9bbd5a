/**
 * Fetches a newer configuration from another node that has it. Nodes learn of each other's versions from hellos, load
 * reports, responses to pings, and announcements by nodes that read a new version from the store.
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { StoreRole } from "../policy/storeRole.ts";
import { steadyNow } from "./clock.ts";
import type { EventLog } from "./eventLog.ts";
import type { KnownNode } from "./nodeDirectory.ts";

export interface ConfigSyncOptions {
    readonly log: EventLog;
    readonly configVersion: () => number;
    readonly storeRole: () => StoreRole;
    readonly nodes: () => Iterable<KnownNode>;
    /** Requests a node's configuration in transfer form; empty if it has none. */
    readonly request: (node: KnownNode) => PromiseLike<unknown>;
    readonly onConfig: (encoded: Buffer, from: string) => void;
    readonly rand?: () => number;
}

/** Time for the store to deliver a new configuration to a node that follows it. */
const FOLLOWER_DELAY_MS = 300;
/** Spreads the requests of the other nodes over the nodes that have the configuration by then. */
const MAX_RESTING_DELAY_MS = 150;
/** Minimum time between two fetches, so that a node skips versions when several follow in quick succession. */
const MIN_FETCH_INTERVAL_MS = 500;
/** A larger configuration is rejected. */
const MAX_CONFIG_BYTES = 64 * 1024 * 1024;

/** Encodes a configuration for the transfer between nodes: most of its bytes go from one data centre to another. */
export function toTransferForm(encoded: Buffer): string {
    return deflateRawSync(encoded).toString("base64");
}

/** Throws if the text is not a transfer form, or the configuration is larger than `MAX_CONFIG_BYTES`. */
export function fromTransferForm(text: string): Buffer {
    return inflateRawSync(Buffer.from(text, "base64"), { maxOutputLength: MAX_CONFIG_BYTES });
}

export class ConfigSync {
    private isBusy = false;
    private isStopped = false;
    private fetchedAt = -Infinity;
    private readonly rand: () => number;

    constructor(private readonly options: ConfigSyncOptions) {
        this.rand = options.rand ?? Math.random;
    }

    /** Records the configuration version of another node. */
    onPeerVersion(node: KnownNode, version: number): void {
        node.configVersion = version;
        if (version > this.options.configVersion()) this.scheduleFetch();
    }

    stop(): void {
        this.isStopped = true;
    }

    private scheduleFetch(): void {
        if (this.isBusy || this.isStopped) return;
        this.isBusy = true;
        const delayMs = this.options.storeRole().kind === "follow"
            ? FOLLOWER_DELAY_MS
            : this.rand() * MAX_RESTING_DELAY_MS;
        const waitMs = Math.max(delayMs, this.fetchedAt + MIN_FETCH_INTERVAL_MS - steadyNow());
        setTimeout(() => {
            void this.fetch().finally(() => {
                this.isBusy = false;
                if (this.chooseSource() !== undefined) this.scheduleFetch();
            });
        }, waitMs);
    }

    private async fetch(): Promise<void> {
        const node = this.chooseSource();
        if (node === undefined || this.isStopped) return;
        const { configVersion: version } = node;
        this.fetchedAt = steadyNow();
        try {
            const encoded = await this.options.request(node);
            if (typeof encoded === "string" && encoded !== "") {
                this.options.onConfig(fromTransferForm(encoded), node.record.name);
            }
        }
        catch (err) {
            this.options.log.event("config-fetch-failed", { from: node.record.name, cause: String(err) });
        }
        // A node that did not deliver the version is not asked again until it reports a version anew.
        if (this.options.configVersion() < version) node.configVersion = 0;
    }

    /** A random node with a newer configuration, in the local data centre if there is one. */
    private chooseSource(): KnownNode | undefined {
        const own = this.options.configVersion();
        let chosen: KnownNode | undefined;
        let seen = 0;
        for (const node of this.options.nodes()) {
            if (node.isSelf || !node.isConnected || node.configVersion <= own) continue;
            if (chosen?.isInLocalDataCentre === true && !node.isInLocalDataCentre) continue;
            if (chosen?.isInLocalDataCentre === false && node.isInLocalDataCentre) seen = 0;
            if (this.rand() * ++seen < 1) chosen = node;
        }
        return chosen;
    }
}
