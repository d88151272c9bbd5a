/** `filbertspool explain`: shows the path of one request from the log files of several nodes. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { CommandError } from "../errors.ts";
import type { Print } from "../publish.ts";
import type { LogLine, RequestTrace } from "../requestTrace.ts";
import { callDepth, safeParseLogLine, traceRequest } from "../requestTrace.ts";

/**
 * Throws `CommandError` if a file cannot be read or has no log line of a node, or if no line belongs to the request.
 */
export async function runExplain(id: string, files: readonly string[], print: Print): Promise<void> {
    const lines: LogLine[] = [];
    for (const file of files) {
        const fileLines = await readLogLines(file);
        if (fileLines.length === 0) throw commandError("no-lines", file, "has no log line of a node");
        // `push(...fileLines)` would fail: a file with the lines of a day exceeds the maximum number of arguments.
        for (const line of fileLines) lines.push(line);
    }
    const trace = traceRequest(id, lines);
    printTrace(trace, print);
    if (trace.lines.length === 0) {
        throw commandError("unknown-request", id, "no line of this request is in these files");
    }
}

async function readLogLines(file: string): Promise<readonly LogLine[]> {
    const lines: LogLine[] = [];
    try {
        for await (const text of createInterface({ input: createReadStream(file, "utf8") })) {
            const line = safeParseLogLine(text);
            if (line !== undefined) lines.push(line);
        }
    }
    catch (err) {
        throw commandError("unreadable", file, `cannot be read: ${(err as Error).message}`);
    }
    return lines;
}

function commandError(code: string, subject: string, message: string): CommandError {
    return new CommandError([{ code, path: [subject], message }]);
}

/**
 * Fields that are not printed as `field=value`. The start of a line and its indentation show the first five; the others
 * do not concern the request.
 */
const HIDDEN_FIELDS: readonly string[] = ["time", "node", "event", "id", "parent", "severity", "leftOut"];

function printTrace(trace: RequestTrace, print: Print): void {
    print(`${trace.id}: ${trace.outcome}`);
    const startedAt = trace.lines[0]?.time ?? 0;
    for (const line of trace.lines) {
        const indent = "  ".repeat(callDepth(line, trace.id) + 1);
        const elapsed = `${line.time - startedAt}`.padStart(6);
        print(`${elapsed} ms${indent}${line.node}  ${line.event}  ${formatFields(line)}`);
    }
    for (const gap of trace.gaps) print(`missing: ${gap}`);
}

function formatFields(line: LogLine): string {
    return Object.entries(line)
        .filter(([field]) => !HIDDEN_FIELDS.includes(field))
        .map(([field, value]) => `${field}=${String(value)}`)
        .join(" ");
}
