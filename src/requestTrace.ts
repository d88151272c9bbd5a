/**
 * Reconstructs the path of one request through the nodes from their log files: the lines of the request and of the
 * calls that its runs made. The names of events and fields are those of `CallLog` and `RunLog` in src/mesh. Each line
 * has the time of its node's own clock, so the order of lines from several nodes depends on how well the clocks agree.
 */
import * as v from "valibot";

const lineSchema = v.objectWithRest({
    time: v.number(),
    node: v.string(),
    event: v.string(),
    id: v.optional(v.string()),
    /** Id of the request whose run made this call. */
    parent: v.optional(v.string()),
    /** The node to which the last attempt went. */
    last: v.optional(v.string()),
    /** Number of lines that the rate limit of the log suppressed before this one. */
    leftOut: v.optional(v.number()),
}, v.union([v.string(), v.number(), v.boolean()]));

/** One line of a node's log; `time` in Unix ms. */
export type LogLine = v.InferOutput<typeof lineSchema>;

export interface RequestTrace {
    readonly id: string;
    /** Lines of the request and of its calls, sorted by time. */
    readonly lines: readonly LogLine[];
    /** Description of how the request ended. */
    readonly outcome: string;
    /** Explanations of which lines are missing and why they may be. */
    readonly gaps: readonly string[];
}

/**
 * Parses one line of a log file and ignores text before the JSON, such as a log collector's time stamp. Returns
 * undefined if the line is not one of a node.
 */
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

/** Builds the trace of one request from the log lines of all nodes. */
export function traceRequest(id: string, allLines: readonly LogLine[]): RequestTrace {
    const treeIds = callTreeIds(id, allLines);
    const lines = allLines.filter(line => line.id !== undefined && treeIds.has(line.id))
        .sort((a, b) => a.time - b.time);
    const requestLines = lines.filter(line => line.id === id);
    const finalLine = requestLines.findLast(line => isFinal(line));
    return {
        id,
        lines,
        outcome: describeOutcome(requestLines, finalLine),
        gaps: findGaps(id, requestLines, finalLine, allLines),
    };
}

/**
 * The ids of a request and of all calls below it. The id of a call usually starts with the id of the request and a dot,
 * and the lines of the node that received the call name its parent; either is enough to find the call.
 */
function callTreeIds(id: string, allLines: readonly LogLine[]): ReadonlySet<string> {
    const ids = new Set([id]);
    for (let previousSize = 0; previousSize < ids.size;) {
        previousSize = ids.size;
        for (const { id: lineId, parent } of allLines) {
            if (lineId === undefined) continue;
            if (lineId.startsWith(`${id}.`) || (parent !== undefined && ids.has(parent))) ids.add(lineId);
        }
    }
    return ids;
}

/**
 * Depth of a call below the request. Each level of calls usually appends a dot and a part to the id. For an id that
 * does not start with that of the request, the result has no meaning.
 */
export function callDepth(line: LogLine, id: string): number {
    return (line.id ?? "").slice(id.length).split(".").length - 1;
}

const FINAL_EVENTS: readonly string[] = ["refused", "unauthorized", "failed", "answered", "cancelled"];

function isFinal(line: LogLine): boolean {
    return FINAL_EVENTS.includes(line.event);
}

function describeOutcome(requestLines: readonly LogLine[], finalLine: LogLine | undefined): string {
    if (finalLine === undefined) {
        return requestLines.length === 0 ? "no line of this request was found" : "no line shows how it ended";
    }
    const { node, event } = finalLine;
    const duration = `after ${formatField(finalLine, "tookMs")} ms`;
    switch (event) {
        case "refused":
            return `refused by ${node} ${duration}, not run: ${describeRefusal(finalLine)}`;
        case "unauthorized":
            return `refused by ${node} with status 401, not run: no valid key`;
        case "failed":
            return `failed at ${node} ${duration} with ${
                formatField(finalLine, "sends")
            } sends that a target may have seen: `
                + `${formatField(finalLine, "reason")}${describeLastAttempt(finalLine)}`;
        case "answered":
            return `answered with status ${formatField(finalLine, "status")} by the target beside ${
                formatField(finalLine, "last")
            } `
                + `${duration}, sends: ${formatField(finalLine, "sends")}`;
        default:
            return `cancelled by its client ${duration}${describeLastAttempt(finalLine)}`;
    }
}

function describeRefusal(line: LogLine): string {
    const reason = formatField(line, "reason");
    if (line["cutoff"] === undefined) return `${reason}${describeLastAttempt(line)}`;
    return `${reason}, its level ${formatField(line, "level")} is above the cutoff ${
        formatField(line, "cutoff")
    }`;
}

function describeLastAttempt(line: LogLine): string {
    return line.last === undefined ? "" : `, last sent to ${line.last}`;
}

function findGaps(
    id: string,
    requestLines: readonly LogLine[],
    finalLine: LogLine | undefined,
    allLines: readonly LogLine[],
): readonly string[] {
    const gaps: string[] = [];
    if (requestLines.length === 0) {
        const suppressedLines = countSuppressedLines(allLines);
        gaps.push(
            `a request that succeeds without a retry is logged only if it is traced; ${suppressedLines} lines were `
                + `left out of these files by rate limits, lines of ${id} may be among them`,
        );
        return gaps;
    }
    if (finalLine === undefined) {
        gaps.push(
            "the line that shows how it ended was suppressed by a rate limit, or its node's file is missing",
        );
    }
    for (const node of new Set(requestLines.flatMap(line => line.last ?? []))) {
        if (requestLines.some(line => line.node === node && line.event.startsWith("run-"))) continue;
        const nodeLines = allLines.filter(line => line.node === node);
        gaps.push(
            nodeLines.length === 0
                ? `no line of ${node} is in these files, though the request was sent there`
                : `${node} has no line of the run: it succeeded and is not traced, the node was unreachable, or the line `
                    + `is among the ${countSuppressedLines(nodeLines)} that its rate limits suppressed`,
        );
    }
    return gaps;
}

function countSuppressedLines(lines: readonly LogLine[]): number {
    return lines.reduce((sum, line) => sum + (line.leftOut ?? 0), 0);
}

function formatField(line: LogLine, field: string): string {
    const value = line[field];
    return value === undefined ? "?" : String(value);
}
