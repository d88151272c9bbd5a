/** `filbertspool diff`: shows what a file set would change. */
import { diffConfigurations } from "../configDiff.ts";
import { ControlReader, readNodeState } from "../controlReader.ts";
import { CommandError } from "../errors.ts";
import { readFileSet } from "../files.ts";
import { LogClient } from "../logClient.ts";
import type { Print } from "../publish.ts";
import type { Environment, Flags } from "../settings.ts";
import { SettingsReader } from "../settings.ts";
import type { Address, ConfigVersion } from "../types.ts";
import { formatAddress } from "../types.ts";
import { checkFlags, readLogUrl, readNodes, readPeerKey, requireSource } from "./flags.ts";

export async function runDiff(
    directory: string,
    flags: Flags,
    env: Environment,
    print: Print,
): Promise<void> {
    const reader = new SettingsReader(flags, env);
    const logUrl = readLogUrl(reader);
    const nodes = readNodes(reader);
    const peerKey = readPeerKey(reader);
    checkFlags(reader);
    requireSource(logUrl, nodes);
    const configuration = readFileSet(directory);
    const current = logUrl === undefined
        ? await readVersionFromNodes(nodes, peerKey)
        : await readVersionFromLog(logUrl, nodes, peerKey);
    const versionLabel = current === undefined
        ? "no version"
        : `version ${current.number} of ${current.author}`;
    const labels = { before: versionLabel, after: directory };
    const changes = diffConfigurations(current?.configuration, configuration, labels);
    if (changes.length === 0) return print(`no change against ${versionLabel}`);
    for (const { file, changes: lines } of changes) {
        print(`${file}:`);
        for (const line of lines) print(`    ${line}`);
    }
    for (const { patch } of changes) print(`\n${patch.trimEnd()}`);
    print(
        `\nagainst ${versionLabel}; to publish: filbertspool apply ${directory} --base ${
            current?.number ?? 0
        }`,
    );
}

async function readVersionFromLog(
    url: string,
    nodes: readonly Address[],
    peerKey: string | undefined,
): Promise<ConfigVersion | undefined> {
    const log = new LogClient(url);
    try {
        return (await new ControlReader(log, nodes, peerKey).readToTail()).config;
    }
    finally {
        await log.close();
    }
}

/** Returns the highest version of the given nodes. Throws `CommandError` if a node does not respond. */
async function readVersionFromNodes(
    nodes: readonly Address[],
    peerKey: string | undefined,
): Promise<ConfigVersion | undefined> {
    const states = await Promise.all(nodes.map(node => readNodeState(node, peerKey)));
    const unreachable = nodes.filter((_, index) => states[index] === undefined);
    if (unreachable.length > 0) {
        throw new CommandError(unreachable.map(node => ({
            code: "unreachable",
            path: [formatAddress(node)],
            message: "no response to control.state; is the node up, and is --peer-key the key of the nodes?",
        })));
    }
    return states.flatMap(state => state?.config ?? []).sort((a, b) => b.number - a.number)[0];
}
