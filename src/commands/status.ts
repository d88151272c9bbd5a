/** `filbertspool status`: what the nodes know and do, as a table or as JSON. */
import { ControlReader } from "../controlReader.ts";
import { CommandError } from "../errors.ts";
import { LogClient } from "../logClient.ts";
import type { NodeAnswer, ReadNodeStatus } from "../nodeStatus.ts";
import { membersOfViews, readNodeStatuses, uniqueAddresses } from "../nodeStatus.ts";
import type { Print } from "../publish.ts";
import type { Environment, Flags } from "../settings.ts";
import { SettingsReader } from "../settings.ts";
import type { Address } from "../types.ts";
import { formatAddress } from "../types.ts";
import { checkFlags, readLogUrl, readNodes, readPeerKey, requireSource } from "./flags.ts";
import { formatTable } from "./table.ts";

export async function runStatus(flags: Flags, env: Environment, print: Print): Promise<void> {
    const reader = new SettingsReader(flags, env);
    const logUrl = readLogUrl(reader);
    const nodes = readNodes(reader);
    const peerKey = readPeerKey(reader);
    checkFlags(reader);
    requireSource(logUrl, nodes);
    const known = logUrl === undefined ? nodes : await addressesFromLog(logUrl, nodes, peerKey);
    const answers = await readAll(known);
    if (flags["json"] === true) print(JSON.stringify(toJson(answers), undefined, 4));
    else printTables(answers, print);
    const silent = answers.flatMap(answer => answer.success ? [] : [answer]);
    if (answers.length === 0) {
        const message = "no node is known; the views in the log are empty, give --node";
        throw new CommandError([{ code: "no-node", path: [], message }]);
    }
    if (silent.length === 0) return;
    throw new CommandError(silent.map(({ address, message }) => ({
        code: "unreachable",
        path: [formatAddress(address)],
        message,
    })));
}

async function addressesFromLog(
    url: string,
    nodes: readonly Address[],
    peerKey: string | undefined,
): Promise<readonly Address[]> {
    const log = new LogClient(url);
    try {
        const { views } = await new ControlReader(log, nodes, peerKey).readToTail();
        return uniqueAddresses(nodes, membersOfViews(views.values()));
    }
    finally {
        await log.close();
    }
}

/** Asks the given nodes, and then the members that they name and that were not asked. */
async function readAll(given: readonly Address[]): Promise<readonly NodeAnswer[]> {
    const answers = await readNodeStatuses(given);
    const views = answers.flatMap(answer => answer.success ? Object.values(answer.status.views) : []);
    const asked = new Set(given.map(formatAddress));
    const others = uniqueAddresses([], membersOfViews(views))
        .filter(address => !asked.has(formatAddress(address)));
    return [...answers, ...await readNodeStatuses(others)];
}

function toJson(answers: readonly NodeAnswer[]): object {
    return {
        nodes: answers.flatMap(answer => answer.success ? [answer.status] : []),
        unreachable: answers.flatMap(answer =>
            answer.success ? [] : [{ address: formatAddress(answer.address), message: answer.message }]
        ),
    };
}

function printTables(answers: readonly NodeAnswer[], print: Print): void {
    const statuses = answers.flatMap(answer => answer.success ? [answer.status] : []);
    if (statuses.length === 0) return;
    const heads = [
        "service",
        "node",
        "data centre",
        "state",
        "version",
        "offset",
        "view",
        "members",
        "level",
        "in flight",
        "limit",
        "calls",
        "runs",
    ];
    const rows = statuses.map(rowOf).sort((a, b) => a.join("\0").localeCompare(b.join("\0")));
    formatTable(heads, rows).forEach(print);
    const counters = counterRows(statuses);
    if (counters.length === 0) return;
    print("");
    formatTable(["counter", "reason", "total", "most at"], counters).forEach(print);
}

function rowOf(status: ReadNodeStatus): readonly string[] {
    const { self, config, admission } = status;
    const view = status.views[self.service];
    return [
        self.service,
        formatAddress(self.address),
        self.dataCentre,
        stateOf(status),
        config === undefined ? "none" : `${config.number} (${config.author})`,
        String(status.logOffset),
        view === undefined ? "none" : String(view.version),
        String(view?.members.length ?? 0),
        String(admission.level),
        String(admission.inFlight),
        String(admission.limit),
        String(status.callsInProgress),
        String(status.runsInProgress),
    ];
}

function stateOf(status: ReadNodeStatus): string {
    if (status.draining) return "draining";
    if (status.config === undefined) return "no configuration";
    if (status.target === undefined) return "no target";
    if (status.target.lost) return "target down";
    const members = status.views[status.self.service]?.members ?? [];
    return members.some(member => member.id === status.self.id) ? "ready" : "not in view";
}

/** Sums over the nodes, and the node with the most, so that one faulty node stands out. */
function counterRows(statuses: readonly ReadNodeStatus[]): readonly (readonly string[])[] {
    const sums = new Map<string, { total: number; most: number; at: string; }>();
    for (const { self, counters } of statuses) {
        for (const [counter, labels] of Object.entries(counters)) {
            for (const [label, value] of Object.entries(labels)) {
                const name = `${counter}\0${label}`;
                const sum = sums.get(name) ?? { total: 0, most: 0, at: "" };
                sum.total += value;
                if (value > sum.most) Object.assign(sum, { most: value, at: formatAddress(self.address) });
                sums.set(name, sum);
            }
        }
    }
    return [...sums].filter(([, sum]) => sum.total > 0).sort(([a], [b]) => a.localeCompare(b))
        .map(([name, sum]) => [...name.split("\0"), String(sum.total), `${sum.at} (${sum.most})`]);
}
