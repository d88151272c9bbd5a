/**
 * The declarative file set: `kinds.yaml`, `services.yaml` and `settings.yaml` in one directory, read as a whole.
 * Issues name the file and the line.
 */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import * as v from "valibot";
import { LineCounter, parseDocument } from "yaml";
import type { Document } from "yaml";
import type { Issue } from "./errors.ts";
import { FileSetError, messageOf } from "./errors.ts";
import type { ParseResult } from "./parse.ts";
import { safeParse } from "./parse.ts";
import { kindSchema, serviceSchema } from "./schemas.ts";
import type { Configuration } from "./types.ts";

const DEFAULT_RESEND_HORIZON_MS = 600_000;
export const FILE_FORMAT = 1;

const kindsSchema = v.strictObject({ kinds: v.pipe(v.array(kindSchema), v.minLength(1)) });
const servicesSchema = v.strictObject({ services: v.pipe(v.array(serviceSchema), v.minLength(1)) });
const settingsSchema = v.strictObject({
    format: v.literal(FILE_FORMAT),
    resendHorizonMs: v.optional(v.pipe(v.number(), v.minValue(1_000)), DEFAULT_RESEND_HORIZON_MS),
    replacedServices: v.optional(
        v.array(v.strictObject({ service: v.string(), viewVersion: v.pipe(v.number(), v.integer()) })),
        [],
    ),
});

/** Reads a file set; `directory` holds the three files. */
export function safeReadFileSet(directory: string): ParseResult<Configuration> {
    const kinds = readYaml(directory, "kinds.yaml", kindsSchema);
    const services = readYaml(directory, "services.yaml", servicesSchema);
    const settings = readYaml(directory, "settings.yaml", settingsSchema);
    if (!kinds.success || !services.success || !settings.success) {
        return {
            success: false,
            issues: [kinds, services, settings].flatMap(part => part.success ? [] : part.issues),
        };
    }
    const configuration: Configuration = {
        kinds: kinds.value.kinds,
        services: services.value.services,
        resendHorizonMs: settings.value.resendHorizonMs,
        replacedServices: settings.value.replacedServices,
    };
    return { success: true, value: configuration };
}

export function readFileSet(directory: string): Configuration {
    const result = safeReadFileSet(directory);
    if (!result.success) throw new FileSetError(result.issues);
    return result.value;
}

function readYaml<TSchema extends v.GenericSchema>(
    directory: string,
    file: string,
    schema: TSchema,
): ParseResult<v.InferOutput<TSchema>> {
    let text: string;
    try {
        text = readFileSync(join(directory, file), "utf8");
    }
    catch (err) {
        return { success: false, issues: [{ code: "file", path: [file], message: messageOf(err) }] };
    }
    const lineCounter = new LineCounter();
    const doc = parseDocument(text, { lineCounter });
    if (doc.errors.length > 0) {
        const issues = doc.errors.map(err => ({
            code: "yaml",
            path: [`${file}:${err.linePos?.[0].line ?? 1}`],
            message: err.message.split("\n")[0]!,
        }));
        return { success: false, issues };
    }
    const parsed = safeParse(schema, doc.toJS());
    if (parsed.success) return parsed;
    return { success: false, issues: parsed.issues.map(issue => withLine(issue, file, doc, lineCounter)) };
}

/** Puts the file and line of the nearest node that exists before the path of an issue. */
function withLine(issue: Issue, file: string, doc: Document, lineCounter: LineCounter): Issue {
    for (let length = issue.path.length; length >= 0; length--) {
        const node = doc.getIn(issue.path.slice(0, length), true) as
            | { range?: [number, number, number]; }
            | undefined;
        if (node?.range !== undefined) {
            return { ...issue, path: [`${file}:${lineCounter.linePos(node.range[0]).line}`, ...issue.path] };
        }
    }
    return { ...issue, path: [`${file}:1`, ...issue.path] };
}
