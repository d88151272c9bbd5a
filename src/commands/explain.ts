/** `filbertspool explain`: the path of one request, from the log files of several nodes. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { CommandError } from "../errors.ts";
import type { Print } from "../publish.ts";
import type { LogLine, RequestPath } from "../requestPath.ts";
import { depthOf, safeParseLogLine, traceRequest } from "../requestPath.ts";

/** Throws `CommandError` when a file cannot be read or holds no line of a node. */
export async function runExplain(id: string, files: readonly string[], print: Print): Promise<void> {
    const lines: LogLine[] = [];
    for (const file of files) {
        const read = await readLines(file);
        if (read.length === 0) throw fault("no-lines", file, "holds no line of a node's log");
        // A loop, since the lines of a day are too many for the arguments of one call.
        for (const line of read) lines.push(line);
    }
    const path = traceRequest(id, lines);
    printPath(path, print);
    if (path.lines.length === 0) throw fault("unknown-request", id, "no line of it is in these files");
}

async function readLines(file: string): Promise<readonly LogLine[]> {
    const lines: LogLine[] = [];
    try {
        for await (const text of createInterface({ input: createReadStream(file, "utf8") })) {
            const line = safeParseLogLine(text);
            if (line !== undefined) lines.push(line);
        }
    }
    catch (err) {
        throw fault("unreadable", file, `cannot be read: ${(err as Error).message}`);
    }
    return lines;
}

function fault(code: string, place: string, message: string): CommandError {
    return new CommandError([{ code, path: [place], message }]);
}

/** Shown at the head of a line, or told by its indentation. */
const HIDDEN_FIELDS: readonly string[] = ["time", "node", "event", "id", "parent", "severity", "leftOut"];

function printPath(path: RequestPath, print: Print): void {
    print(`${path.id}: ${path.verdict}`);
    const startedAt = path.lines[0]?.time ?? 0;
    for (const line of path.lines) {
        const indent = "  ".repeat(depthOf(line, path.id) + 1);
        const offset = `${line.time - startedAt}`.padStart(6);
        print(`${offset} ms${indent}${line.node}  ${line.event}  ${fieldsText(line)}`);
    }
    for (const gap of path.gaps) print(`missing: ${gap}`);
}

function fieldsText(line: LogLine): string {
    return Object.entries(line)
        .filter(([field]) => !HIDDEN_FIELDS.includes(field))
        .map(([field, value]) => `${field}=${String(value)}`)
        .join(" ");
}
