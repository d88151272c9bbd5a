/**
 * The path of one request through the nodes, put together from their log files: its lines and those of the calls that
 * its runs made. They are ordered by the times of the nodes' own clocks, so lines of different nodes are in order only
 * as far as their clocks agree.
 */
import * as v from "valibot";

const lineSchema = v.objectWithRest({
    time: v.number(),
    node: v.string(),
    event: v.string(),
    id: v.optional(v.string()),
    /** The request whose run made this call. */
    parent: v.optional(v.string()),
    last: v.optional(v.string()),
    leftOut: v.optional(v.number()),
}, v.union([v.string(), v.number(), v.boolean()]));

/** One line of a node's log; `time` in Unix ms. */
export type LogLine = v.InferOutput<typeof lineSchema>;

export interface RequestPath {
    readonly id: string;
    /** Lines of the request and of its calls, in order. */
    readonly lines: readonly LogLine[];
    /** What ended the request, in a sentence. */
    readonly verdict: string;
    /** What the lines do not tell. */
    readonly gaps: readonly string[];
}

/** Reads a line of a log file; whatever stands before the JSON, such as a time of the collector, is passed over. */
export function safeParseLogLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    if (start < 0) return undefined;
    let input: unknown;
    try {
        input = JSON.parse(text.slice(start));
    }
    catch {
        return undefined;
    }
    const result = v.safeParse(lineSchema, input);
    return result.success ? result.output : undefined;
}

/** Lines of all nodes in, the path of one request out. */
export function traceRequest(id: string, all: readonly LogLine[]): RequestPath {
    const ids = idsBelow(id, all);
    const lines = all.filter(line => line.id !== undefined && ids.has(line.id))
        .sort((one, other) => one.time - other.time);
    const own = lines.filter(line => line.id === id);
    const ending = own.findLast(line => isEnding(line));
    return { id, lines, verdict: verdictOf(own, ending), gaps: gapsOf(id, own, ending, all) };
}

/**
 * The ids of a request and of all calls below it. Ids of calls begin with that of their parent, and lines of their entry
 * name the parent; either is enough.
 */
function idsBelow(id: string, all: readonly LogLine[]): ReadonlySet<string> {
    const ids = new Set([id]);
    for (let known = 0; known < ids.size;) {
        known = ids.size;
        for (const { id: lineId, parent } of all) {
            if (lineId === undefined) continue;
            if (lineId.startsWith(`${id}.`) || (parent !== undefined && ids.has(parent))) ids.add(lineId);
        }
    }
    return ids;
}

/** Depth of a call below the request: each level of calls adds a dot and a part to the id. */
export function depthOf(line: LogLine, id: string): number {
    return (line.id ?? "").slice(id.length).split(".").length - 1;
}

const ENDINGS: readonly string[] = ["refused", "failed", "answered", "cancelled"];

function isEnding(line: LogLine): boolean {
    return ENDINGS.includes(line.event);
}

function verdictOf(own: readonly LogLine[], ending: LogLine | undefined): string {
    if (ending === undefined) {
        return own.length === 0 ? "no line of this request was found" : "no line tells how it ended";
    }
    const { node, event } = ending;
    const after = `after ${text(ending, "tookMs")} ms`;
    switch (event) {
        case "refused":
            return `refused by ${node} ${after}, not run: ${refusalText(ending)}`;
        case "failed":
            return `failed at ${node} ${after} with ${
                text(ending, "sends")
            } sends that a target may have seen: `
                + `${text(ending, "reason")}${lastText(ending)}`;
        case "answered":
            return `answered with status ${text(ending, "status")} by the target beside ${
                text(ending, "last")
            } `
                + `${after}, sends: ${text(ending, "sends")}`;
        default:
            return `given up by its client ${after}${lastText(ending)}`;
    }
}

function refusalText(line: LogLine): string {
    const reason = text(line, "reason");
    if (line["cutoff"] === undefined) return `${reason}${lastText(line)}`;
    return `${reason}, its level ${text(line, "level")} is above the cut-off ${text(line, "cutoff")}`;
}

function lastText(line: LogLine): string {
    return line.last === undefined ? "" : `, last sent to ${line.last}`;
}

function gapsOf(
    id: string,
    own: readonly LogLine[],
    ending: LogLine | undefined,
    all: readonly LogLine[],
): readonly string[] {
    const gaps: string[] = [];
    if (own.length === 0) {
        const leftOut = sumLeftOut(all);
        gaps.push(
            `a request that ends well leaves lines only if it is traced; ${leftOut} lines of other requests were left `
                + `out by rate limits in these files, lines of ${id} may be among them`,
        );
        return gaps;
    }
    if (ending === undefined) gaps.push("the line that ends it was left out, or its node's file is missing");
    for (const node of new Set(own.flatMap(line => line.last ?? []))) {
        if (own.some(line => line.node === node && line.event.startsWith("run-"))) continue;
        const ofNode = all.filter(line => line.node === node);
        gaps.push(
            ofNode.length === 0
                ? `no line of ${node} is in these files, though the request was sent there`
                : `${node} has no line of the run: it ended well and is not traced, the node was away, or the line is `
                    + `among the ${sumLeftOut(ofNode)} that it left out`,
        );
    }
    return gaps;
}

function sumLeftOut(lines: readonly LogLine[]): number {
    return lines.reduce((sum, line) => sum + (line.leftOut ?? 0), 0);
}

function text(line: LogLine, field: string): string {
    const value = line[field];
    return value === undefined ? "?" : String(value);
}
