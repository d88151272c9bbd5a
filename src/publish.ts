/**
 * Publishes a configuration: appends it to the control log, replays the log to learn whether it was accepted, and waits
 * until the version is in force on the nodes.
 */
import { randomUUID } from "node:crypto";
import { isDeepStrictEqual } from "node:util";
import { ControlReader } from "./controlReader.ts";
import { CommandError, messageOf } from "./errors.ts";
import type { LogClient } from "./logClient.ts";
import type { ConfigRecord } from "./logRecords.ts";
import { NO_BASE } from "./logRecords.ts";
import { membersOfViews, readNodeVersions, uniqueAddresses } from "./nodeStatus.ts";
import type { NodeVersionResult } from "./nodeStatus.ts";
import type { Address, Configuration, ConfigVersion } from "./types.ts";
import { formatAddress } from "./types.ts";

export type Print = (line: string) => void;

const POLL_INTERVAL_MS = 200;
const LONG_POLL_MS = 500;

export interface PublishOptions {
    readonly log: LogClient;
    readonly configuration: Configuration;
    readonly author: string;
    /** Number of the version that the change is based on, 0 for none; undefined means the version in force. */
    readonly base?: number | undefined;
    /** Peer addresses of nodes to poll in addition to the members of the views. */
    readonly nodes: readonly Address[];
    /** Shared key of the nodes, if the deployment uses one. */
    readonly peerKey?: string | undefined;
    readonly timeoutMs: number;
    readonly print: Print;
}

/**
 * Resolves with the version number once the version is in force on every known node. Throws `CommandError` when
 * another version came first, or when within `timeoutMs` the record is not read back from the log or a node does not
 * apply the version.
 */
export async function publish(opts: PublishOptions): Promise<number> {
    const { configuration, print } = opts;
    const reader = new ControlReader(opts.log, opts.nodes, opts.peerKey);
    const deadlineAt = Date.now() + opts.timeoutMs;
    const { config } = await reader.readToTail();
    checkBase(config, opts.base);
    if (config !== undefined && isDeepStrictEqual(config.configuration, toPlainJson(configuration))) {
        print(`no change: version ${config.number} of ${config.author} is the same`);
        return waitUntilInForce(opts, reader, config.number, deadlineAt);
    }
    const record: ConfigRecord = {
        type: "config",
        id: randomUUID(),
        base: config?.id ?? NO_BASE,
        author: opts.author,
        configuration,
    };
    await appendUntilConfirmed(opts, reader, record, deadlineAt);
    const current = reader.state.config;
    if (reader.verdictOf(record.id) !== "accepted" || current === undefined) throw supersededError(current);
    // A later version may already be in force, so the number is derived from the base version.
    const versionNumber = (config?.number ?? 0) + 1;
    print(`version ${versionNumber} is in the log`);
    return waitUntilInForce(opts, reader, versionNumber, deadlineAt);
}

/** The configuration in the form in which the log returns it: JSON drops fields that are undefined. */
function toPlainJson(configuration: Configuration): unknown {
    return JSON.parse(JSON.stringify(configuration));
}

function checkBase(config: ConfigVersion | undefined, base: number | undefined): void {
    const current = config?.number ?? 0;
    if (base === undefined || base === current) return;
    if (base < current) throw supersededError(config);
    const message = `--base: version ${base} does not exist; `
        + (config === undefined
            ? "no version is in force, give 0"
            : `version ${current} of ${config.author} is in force`);
    throw new CommandError([{ code: "base", path: [], message }]);
}

function supersededError(config: ConfigVersion | undefined): CommandError {
    const message = `superseded by version ${config?.number ?? 0} of ${config?.author ?? "nobody"}; `
        + "run diff and apply again";
    return new CommandError([{ code: "superseded", path: [], message }]);
}

/**
 * Appends the record until it is read back from the log. An append without a response may have taken effect, so it is
 * retried with the same id; the replay of the log ignores the duplicate.
 */
async function appendUntilConfirmed(
    opts: PublishOptions,
    reader: ControlReader,
    record: ConfigRecord,
    deadlineAt: number,
): Promise<void> {
    let appended = false;
    let lastFailure = "";
    for (;;) {
        try {
            if (!appended) await opts.log.append(record);
            appended = true;
            await reader.readToTail(LONG_POLL_MS);
            lastFailure = "";
        }
        catch (err) {
            if (err instanceof CommandError) throw err;
            // Also printed if the append succeeded and only the read failed. The record is then not sent again.
            if (lastFailure === "") opts.print(`${messageOf(err)}; sent again with the same id`);
            lastFailure = messageOf(err);
            await reader.readToTail().catch(() => undefined);
        }
        if (reader.verdictOf(record.id) !== undefined) return;
        if (Date.now() >= deadlineAt) {
            const message = `the log did not confirm the change in ${opts.timeoutMs / 1_000} s`
                + `${
                    lastFailure === "" ? "" : ` (${lastFailure})`
                }; it may still take effect: run diff before you apply again`;
            throw new CommandError([{ code: "unconfirmed", path: [], message }]);
        }
        await waitForNextPoll();
    }
}

async function waitUntilInForce(
    opts: PublishOptions,
    reader: ControlReader,
    versionNumber: number,
    deadlineAt: number,
): Promise<number> {
    /** Nodes with this or a later version. A node never returns to an older version, so these are not polled again. */
    const updatedNodes = new Set<string>();
    for (;;) {
        const addresses = uniqueAddresses(opts.nodes, membersOfViews(reader.state.views.values()));
        const remaining = addresses.filter(address => !updatedNodes.has(formatAddress(address)));
        const results = await readNodeVersions(remaining);
        const outdated = results.filter(result => !result.success || result.version < versionNumber);
        const hadNoUpdatedNodes = updatedNodes.size === 0;
        for (const result of results) {
            if (!outdated.includes(result)) updatedNodes.add(formatAddress(result.address));
        }
        // "Accepted" means that a node has applied the version, not only that the log contains it.
        if (hadNoUpdatedNodes && updatedNodes.size > 0) opts.print(`version ${versionNumber} accepted`);
        if (outdated.length < results.length) {
            opts.print(`in force on ${addresses.length - outdated.length} of ${addresses.length} nodes`);
        }
        if (updatedNodes.size > 0 && outdated.length === 0) return versionNumber;
        if (Date.now() >= deadlineAt) throw notInForceError(outdated, reader, versionNumber, opts.timeoutMs);
        await waitForNextPoll();
        // Members may have joined or left. If the log cannot be read, polling goes on with the known members.
        await reader.readToTail().catch(() => undefined);
    }
}

function notInForceError(
    outdated: readonly NodeVersionResult[],
    reader: ControlReader,
    versionNumber: number,
    timeoutMs: number,
): CommandError {
    if (outdated.length === 0) {
        const message =
            `version ${versionNumber} is in the log, but no node is known that could apply it; give --node`;
        return new CommandError([{ code: "no-node", path: [], message }]);
    }
    const members = membersOfViews(reader.state.views.values());
    const services = new Map(members.map(member => [formatAddress(member.address), member.service]));
    return new CommandError(outdated.map(result => {
        const address = formatAddress(result.address);
        const state = result.success ? `has version ${result.version}` : result.message;
        const message =
            `${services.get(address) ?? "node"} ${address}: version ${versionNumber} is not in force after `
            + `${timeoutMs / 1_000} s; ${state}`;
        return { code: "lagging", path: [], message };
    }));
}

function waitForNextPoll(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
}
