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
import type { VersionAnswer } from "./nodeStatus.ts";
import type { Address, Configuration, ConfigVersion } from "./types.ts";
import { formatAddress } from "./types.ts";

export type Print = (line: string) => void;

const PAUSE_MS = 200;
const READ_WAIT_MS = 500;

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
    const deadline = Date.now() + opts.timeoutMs;
    const { config } = await reader.readToTail();
    checkBase(config, opts.base);
    if (config !== undefined && isDeepStrictEqual(config.configuration, plain(configuration))) {
        print(`no change: version ${config.number} of ${config.author} is the same`);
        return untilInForce(opts, reader, config.number, deadline);
    }
    const record: ConfigRecord = {
        type: "config",
        id: randomUUID(),
        base: config?.id ?? NO_BASE,
        author: opts.author,
        configuration,
    };
    await appendUntilSeen(opts, reader, record, deadline);
    const current = reader.state.config;
    if (reader.verdictOf(record.id) !== "accepted" || current === undefined) throw superseded(current);
    // A still later version may already follow; the own one is the successor of its base.
    const number = (config?.number ?? 0) + 1;
    print(`version ${number} is in the log`);
    return untilInForce(opts, reader, number, deadline);
}

/** The form that a configuration has after it went through the log. */
function plain(configuration: Configuration): unknown {
    return JSON.parse(JSON.stringify(configuration));
}

function checkBase(config: ConfigVersion | undefined, base: number | undefined): void {
    const current = config?.number ?? 0;
    if (base === undefined || base === current) return;
    if (base < current) throw superseded(config);
    const message = `--base: version ${base} does not exist; `
        + (config === undefined
            ? "no version is in force, give 0"
            : `version ${current} of ${config.author} is`);
    throw new CommandError([{ code: "base", path: [], message }]);
}

function superseded(config: ConfigVersion | undefined): CommandError {
    const message = `superseded by version ${config?.number ?? 0} of ${config?.author ?? "nobody"}; `
        + "run diff and apply again";
    return new CommandError([{ code: "superseded", path: [], message }]);
}

/**
 * Appends until the log shows the record. An append without an answer may have taken effect, so it is sent
 * again with the same id; the log's replay ignores the second copy.
 */
async function appendUntilSeen(
    opts: PublishOptions,
    reader: ControlReader,
    record: ConfigRecord,
    deadline: number,
): Promise<void> {
    let appended = false;
    let failure = "";
    for (;;) {
        try {
            if (!appended) await opts.log.append(record);
            appended = true;
            await reader.readToTail(READ_WAIT_MS);
            failure = "";
        }
        catch (err) {
            if (err instanceof CommandError) throw err;
            if (failure === "") opts.print(`${messageOf(err)}; sent again with the same id`);
            failure = messageOf(err);
            await reader.readToTail().catch(() => undefined);
        }
        if (reader.verdictOf(record.id) !== undefined) return;
        if (Date.now() >= deadline) {
            const message = `the log did not confirm the change in ${opts.timeoutMs / 1_000} s`
                + `${
                    failure === "" ? "" : ` (${failure})`
                }; it may still take effect: run diff before you apply again`;
            throw new CommandError([{ code: "unconfirmed", path: [], message }]);
        }
        await pause();
    }
}

async function untilInForce(
    opts: PublishOptions,
    reader: ControlReader,
    number: number,
    deadline: number,
): Promise<number> {
    /** Nodes with the version; a node never goes back to an older one, so they are not asked again. */
    const holders = new Set<string>();
    for (;;) {
        const addresses = uniqueAddresses(opts.nodes, membersOfViews(reader.state.views.values()));
        const asked = addresses.filter(address => !holders.has(formatAddress(address)));
        const answers = await readNodeVersions(asked);
        const late = answers.filter(answer => !answer.success || answer.version < number);
        const isFirst = holders.size === 0;
        for (const answer of answers) {
            if (!late.includes(answer)) holders.add(formatAddress(answer.address));
        }
        if (isFirst && holders.size > 0) opts.print(`version ${number} accepted`);
        if (late.length < answers.length) {
            opts.print(`in force on ${addresses.length - late.length} of ${addresses.length} nodes`);
        }
        if (holders.size > 0 && late.length === 0) return number;
        if (Date.now() >= deadline) throw lagging(late, reader, number, opts.timeoutMs);
        await pause();
        // Members may join or leave meanwhile; the nodes can be polled without the log.
        await reader.readToTail().catch(() => undefined);
    }
}

function lagging(
    late: readonly VersionAnswer[],
    reader: ControlReader,
    number: number,
    timeoutMs: number,
): CommandError {
    if (late.length === 0) {
        const message =
            `version ${number} is in the log, but no node is known that could hold it; give --node`;
        return new CommandError([{ code: "no-node", path: [], message }]);
    }
    const members = membersOfViews(reader.state.views.values());
    const services = new Map(members.map(member => [formatAddress(member.address), member.service]));
    return new CommandError(late.map(answer => {
        const address = formatAddress(answer.address);
        const state = answer.success ? `has version ${answer.version}` : answer.message;
        const message =
            `${services.get(address) ?? "node"} ${address}: version ${number} is not in force after `
            + `${timeoutMs / 1_000} s; ${state}`;
        return { code: "lagging", path: [], message };
    }));
}

function pause(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, PAUSE_MS));
}
