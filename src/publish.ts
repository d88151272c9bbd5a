/**
 * Publishes a configuration: an append to the control log, its verdict from the log, and the nodes on which it
 * is in force.
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
    /** Number of the version that the operator saw, 0 for none; undefined for the one in force. */
    readonly base?: number | undefined;
    /** Peer addresses of nodes to ask besides the members in the views. */
    readonly nodes: readonly Address[];
    /** Key of the nodes, when they have one. */
    readonly peerKey?: string | undefined;
    readonly timeoutMs: number;
    readonly print: Print;
}

/** Resolves with the number of the version once it is in force on every node that can be seen. */
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
    // A still later version may already follow; the own one is the successor of its base.
    const versionNumber = (config?.number ?? 0) + 1;
    print(`version ${versionNumber} is in the log`);
    return waitUntilInForce(opts, reader, versionNumber, deadlineAt);
}

/** The form that a configuration has after it went through the log. */
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
            : `version ${current} of ${config.author} is`);
    throw new CommandError([{ code: "base", path: [], message }]);
}

function supersededError(config: ConfigVersion | undefined): CommandError {
    const message = `superseded by version ${config?.number ?? 0} of ${config?.author ?? "nobody"}; `
        + "run diff and apply again";
    return new CommandError([{ code: "superseded", path: [], message }]);
}

/**
 * Appends until the log shows the record. An append without an answer may have taken effect, so it is sent
 * again with the same id; the log's replay ignores the second copy.
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
    /** Nodes with the version; a node never goes back to an older one, so they are not asked again. */
    const updatedNodes = new Set<string>();
    for (;;) {
        const addresses = uniqueAddresses(opts.nodes, membersOfViews(reader.state.views.values()));
        const remaining = addresses.filter(address => !updatedNodes.has(formatAddress(address)));
        const results = await readNodeVersions(remaining);
        const outdated = results.filter(result => !result.success || result.version < versionNumber);
        const isFirstUpdate = updatedNodes.size === 0;
        for (const result of results) {
            if (!outdated.includes(result)) updatedNodes.add(formatAddress(result.address));
        }
        if (isFirstUpdate && updatedNodes.size > 0) opts.print(`version ${versionNumber} accepted`);
        if (outdated.length < results.length) {
            opts.print(`in force on ${addresses.length - outdated.length} of ${addresses.length} nodes`);
        }
        if (updatedNodes.size > 0 && outdated.length === 0) return versionNumber;
        if (Date.now() >= deadlineAt) throw laggingError(outdated, reader, versionNumber, opts.timeoutMs);
        await waitForNextPoll();
        // Members may join or leave meanwhile; the nodes can be polled without the log.
        await reader.readToTail().catch(() => undefined);
    }
}

function laggingError(
    outdated: readonly NodeVersionResult[],
    reader: ControlReader,
    versionNumber: number,
    timeoutMs: number,
): CommandError {
    if (outdated.length === 0) {
        const message =
            `version ${versionNumber} is in the log, but no node is known that could hold it; give --node`;
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
