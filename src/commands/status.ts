/** `filbertspool status`: shows the state, configuration and counters of the nodes as tables or as JSON. */
import { ControlReader } from "../controlReader.ts";
import { CommandError } from "../errors.ts";
import { LogClient } from "../logClient.ts";
import type { NodeStatus, NodeStatusResult } from "../nodeStatus.ts";
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
    const addresses = logUrl === undefined ? nodes : await addressesFromLog(logUrl, nodes, peerKey);
    const results = await readStatuses(addresses);
    if (flags["json"] === true) print(JSON.stringify(toJson(results), undefined, 4));
    else printTables(results, print);
    const unreachable = results.flatMap(result => result.success ? [] : [result]);
    if (results.length === 0) {
        const message = "no node is known; the views in the log are empty, give --node";
        throw new CommandError([{ code: "no-node", path: [], message }]);
    }
    if (unreachable.length === 0) return;
    throw new CommandError(unreachable.map(({ address, message }) => ({
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

/** Reads the status of the given nodes, then of the other members in their views. */
async function readStatuses(given: readonly Address[]): Promise<readonly NodeStatusResult[]> {
    const results = await readNodeStatuses(given);
    const views = results.flatMap(result => result.success ? Object.values(result.status.views) : []);
    const queried = new Set(given.map(formatAddress));
    const others = uniqueAddresses([], membersOfViews(views))
        .filter(address => !queried.has(formatAddress(address)));
    return [...results, ...await readNodeStatuses(others)];
}

function toJson(results: readonly NodeStatusResult[]): object {
    return {
        nodes: results.flatMap(result => result.success ? [result.status] : []),
        unreachable: results.flatMap(result =>
            result.success ? [] : [{ address: formatAddress(result.address), message: result.message }]
        ),
    };
}

function printTables(results: readonly NodeStatusResult[], print: Print): void {
    const statuses = results.flatMap(result => result.success ? [result.status] : []);
    if (statuses.length === 0) return;
    const headings = [
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
    const rows = statuses.map(toRow).sort((a, b) => a.join("\0").localeCompare(b.join("\0")));
    formatTable(headings, rows).forEach(print);
    const counters = toCounterRows(statuses);
    if (counters.length === 0) return;
    print("");
    // The heading names the most frequent label. `metrics.ts` has the label of each counter.
    formatTable(["counter", "reason", "total", "most at"], counters).forEach(print);
}

function toRow(status: NodeStatus): readonly string[] {
    const { self, config, admission } = status;
    const view = status.views[self.service];
    return [
        self.service,
        formatAddress(self.address),
        self.dataCentre,
        describeState(status),
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

function describeState(status: NodeStatus): string {
    if (status.draining) return "draining";
    if (status.config === undefined) return "no configuration";
    if (status.target === undefined) return "no target";
    if (status.target.lost) return "target down";
    const members = status.views[status.self.service]?.members ?? [];
    return members.some(member => member.id === status.self.id) ? "ready" : "not in view";
}

/** Sums each counter over the nodes and names the node with the highest value, so that one faulty node stands out. */
function toCounterRows(statuses: readonly NodeStatus[]): readonly (readonly string[])[] {
    const sums = new Map<string, { total: number; max: number; maxNode: string; }>();
    for (const { self, counters } of statuses) {
        for (const [counter, labels] of Object.entries(counters)) {
            for (const [label, value] of Object.entries(labels)) {
                const name = `${counter}\0${label}`;
                const sum = sums.get(name) ?? { total: 0, max: 0, maxNode: "" };
                sum.total += value;
                if (value > sum.max) Object.assign(sum, { max: value, maxNode: formatAddress(self.address) });
                sums.set(name, sum);
            }
        }
    }
    return [...sums].filter(([, sum]) => sum.total > 0).sort(([a], [b]) => a.localeCompare(b))
        .map(([name, sum]) => [...name.split("\0"), String(sum.total), `${sum.maxNode} (${sum.max})`]);
}
