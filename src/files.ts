/**
 * Reads and renders the declarative file set: `kinds.yaml`, `services.yaml` and `settings.yaml` in one directory.
 * A set with any issue is rejected as a whole. An issue names the file and, where they are known, the line and the
 * valid values.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import * as v from "valibot";
import { LineCounter, parseDocument, stringify } from "yaml";
import type { Document } from "yaml";
import type { Issue } from "./errors.ts";
import { FileSetError, messageOf } from "./errors.ts";
import { crossCheck } from "./fileSetChecks.ts";
import type { ParseResult } from "./parse.ts";
import { kindSchema, serviceSchema } from "./schemas.ts";
import type { Configuration, Kind, Service } from "./types.ts";

const DEFAULT_RESEND_HORIZON_MS = 600_000;
export const FILE_FORMAT = 1;

const replacedServiceSchema = v.strictObject({
    service: v.string(),
    viewVersion: v.pipe(v.number(), v.integer(), v.minValue(0)),
});
const settingsSchema = v.strictObject({
    format: v.literal(FILE_FORMAT),
    resendHorizonMs: v.optional(
        v.pipe(v.number(), v.minValue(1_000), v.maxValue(86_400_000)),
        DEFAULT_RESEND_HORIZON_MS,
    ),
    replacedServices: v.optional(v.array(replacedServiceSchema), []),
});
const schemas = {
    "kinds.yaml": v.strictObject({ kinds: v.pipe(v.array(kindSchema), v.minLength(1)) }),
    "services.yaml": v.strictObject({ services: v.pipe(v.array(serviceSchema), v.minLength(1)) }),
    "settings.yaml": settingsSchema,
} as const;
export type FileName = keyof typeof schemas;
export const fileNames = Object.keys(schemas) as readonly FileName[];

/** Valid fields by file and nesting depth, for error messages. A list takes a depth of its own, which has no fields. */
const VALID_FIELDS: Readonly<Record<FileName, readonly (readonly string[])[]>> = {
    "kinds.yaml": [["kinds"], [], Object.keys(kindSchema.entries)],
    "services.yaml": [["services"], [], Object.keys(serviceSchema.entries)],
    "settings.yaml": [Object.keys(settingsSchema.entries), [], Object.keys(replacedServiceSchema.entries)],
};

/** Descriptions of the valid values by field name, for error messages. */
const VALID_VALUES: Readonly<Record<string, string>> = {
    kinds: "a list of at least one kind",
    services: "a list of at least one service",
    name: "a name of 1 to 63 lower-case letters, digits and hyphens, with no hyphen first",
    priority: "a whole number from 0 (refused last) to 7",
    worth: "a number from 0 (not counted)",
    nonIdempotent: "true or false",
    retries: "a whole number from 0 to 100",
    deadlineMs: "a number of milliseconds from 1 to 3600000",
    external: "true or false",
    defaultKind: "the name of a kind",
    calls: "a list of names of services, such as [] or [booking]",
    connections: "a whole number from 1",
    slots: "a whole number from 1",
    format: String(FILE_FORMAT),
    resendHorizonMs: "a number of milliseconds from 1000 to 86400000",
    replacedServices: "a list of {service, viewVersion}",
    service: "the name of a service",
    viewVersion: "a whole number from 0",
};

/** Reads and validates a file set. On failure, the result holds the issues of all files. */
export function safeReadFileSet(directory: string): ParseResult<Configuration> {
    let directoryEntries: readonly string[];
    try {
        directoryEntries = readdirSync(directory);
    }
    catch (err) {
        const message = `not a readable directory (${messageOf(err)}); give one with ${fileNames.join(", ")}`;
        return { success: false, issues: [{ code: "directory", path: [directory], message }] };
    }
    const unexpectedFiles = directoryEntries.filter(name =>
        /\.ya?ml$/.test(name) && !(fileNames as readonly string[]).includes(name)
    )
        .map(name => issueAt(name, "file", `not part of a file set; valid: ${fileNames.join(", ")}`));
    const files = {
        kinds: YamlFile.read(directory, "kinds.yaml"),
        services: YamlFile.read(directory, "services.yaml"),
        settings: YamlFile.read(directory, "settings.yaml"),
    };
    const issues = [
        ...unexpectedFiles,
        ...Object.values(files).flatMap(file => file.issues),
        ...crossCheck({
            kinds: files.kinds.items("kinds", kindSchema),
            services: files.services.items("services", serviceSchema),
            replacedServices: files.settings.items("replacedServices", replacedServiceSchema),
            resendHorizonMs: resendHorizonOf(files.settings),
            kindNames: files.kinds.names("kinds"),
            serviceNames: files.services.names("services"),
        }).map(({ file, path, code, message }) =>
            issueAt(`${file}:${findFile(files, file).lineOf(path)}`, code, message)
        ),
    ];
    if (issues.length > 0) return { success: false, issues };
    const settings = v.parse(settingsSchema, files.settings.value);
    const configuration: Configuration = {
        kinds: v.parse(schemas["kinds.yaml"], files.kinds.value).kinds,
        services: v.parse(schemas["services.yaml"], files.services.value).services,
        resendHorizonMs: settings.resendHorizonMs,
        replacedServices: settings.replacedServices,
    };
    return { success: true, value: configuration };
}

/** Throws `FileSetError` with all issues if the file set is not valid. */
export function readFileSet(directory: string): Configuration {
    const result = safeReadFileSet(directory);
    if (!result.success) throw new FileSetError(result.issues);
    return result.value;
}

/** Renders a configuration as the texts of its files. In this canonical form, fields have the order of the schemas. */
export function renderFileSet(configuration: Configuration): Readonly<Record<FileName, string>> {
    const { kinds, services, resendHorizonMs, replacedServices } = configuration;
    const render = (value: object) => stringify(value, { indent: 4, flowCollectionPadding: false });
    return {
        "kinds.yaml": render({ kinds: kinds.map(kind => orderFields(kind, kindSchema)) }),
        "services.yaml": render({ services: services.map(service => orderFields(service, serviceSchema)) }),
        "settings.yaml": render({
            format: FILE_FORMAT,
            resendHorizonMs,
            ...(replacedServices.length === 0 ? {} : { replacedServices }),
        }),
    };
}

function orderFields(value: Kind | Service, schema: { readonly entries: object; }): object {
    const fields = new Map<string, unknown>(Object.entries(value));
    const names = Object.keys(schema.entries).filter(name => fields.get(name) !== undefined);
    return Object.fromEntries(names.map(name => [name, fields.get(name)]));
}

function issueAt(location: string, code: string, message: string): Issue {
    return { code, path: [location], message };
}

function resendHorizonOf(file: YamlFile): number | undefined {
    const value = (file.value as { resendHorizonMs?: unknown; } | undefined)?.resendHorizonMs;
    if (value === undefined) return DEFAULT_RESEND_HORIZON_MS;
    return typeof value === "number" ? value : undefined;
}

function findFile(files: Readonly<Record<string, YamlFile>>, name: FileName): YamlFile {
    return Object.values(files).find(file => file.name === name)!;
}

/** A list item that matches its schema, with its index in the list of the file. */
export interface Item<T> {
    readonly index: number;
    readonly value: T;
}

/** One parsed file. If the file cannot be read or parsed, it has issues and no value. */
class YamlFile {
    readonly name: FileName;
    readonly value: unknown;
    readonly issues: readonly Issue[];
    private readonly doc: Document | undefined;
    private readonly lines = new LineCounter();

    private constructor(name: FileName, textOrIssue: string | Issue) {
        this.name = name;
        if (typeof textOrIssue !== "string") {
            this.issues = [textOrIssue];
            return;
        }
        const doc = parseDocument(textOrIssue, { lineCounter: this.lines });
        if (doc.errors.length > 0) {
            this.issues = doc.errors.map(err =>
                issueAt(`${name}:${err.linePos?.[0].line ?? 1}`, "yaml", err.message.split("\n")[0]!)
            );
            return;
        }
        this.doc = doc;
        try {
            this.value = doc.toJS();
        }
        catch (err) {
            // The YAML library throws if aliases expand too far.
            this.issues = [issueAt(`${name}:1`, "yaml", messageOf(err))];
            return;
        }
        const result = v.safeParse(schemas[name], this.value);
        this.issues = (result.issues ?? []).map(issue => this.toIssue(issue));
    }

    static read(directory: string, name: FileName): YamlFile {
        try {
            return new YamlFile(name, readFileSync(join(directory, name), "utf8"));
        }
        catch (err) {
            return new YamlFile(name, issueAt(name, "file", `cannot be read: ${messageOf(err)}`));
        }
    }

    /** The items of a list that match the schema. The constructor has already recorded issues for the others. */
    items<TSchema extends v.GenericSchema>(
        list: string,
        schema: TSchema,
    ): readonly Item<v.InferOutput<TSchema>>[] {
        return this.list(list).flatMap((value, index) => {
            const result = v.safeParse(schema, value);
            return result.success ? [{ index, value: result.output }] : [];
        });
    }

    /** The names of all items of a list, including items that do not match their schema. */
    names(list: string): readonly string[] {
        return this.list(list).flatMap(value => {
            const name = (value as { readonly name?: unknown; } | null)?.name;
            return typeof name === "string" ? [name] : [];
        });
    }

    private list(name: string): readonly unknown[] {
        const values = (this.value as Record<string, unknown> | undefined | null)?.[name];
        return Array.isArray(values) ? values : [];
    }

    /** Line of the field at `path`, or of the closest enclosing value if the field is missing. */
    lineOf(path: readonly (string | number)[]): number {
        for (let length = path.length; length > 0; length--) {
            const node = this.doc?.getIn(path.slice(0, length), true) as { range?: [number]; } | undefined;
            if (node?.range !== undefined) return this.lines.linePos(node.range[0]).line;
        }
        return 1;
    }

    private toIssue(issue: v.BaseIssue<unknown>): Issue {
        const path = issue.path?.map(item => item.key as string | number) ?? [];
        const location = `${this.name}:${this.lineOf(path)}`;
        const formattedPath = path.map((key, index) =>
            typeof key === "number" ? `[${key}]` : index === 0 ? key : `.${key}`
        ).join("");
        const field = path.findLast(key => typeof key === "string");
        if (issue.type === "strict_object" && issue.expected === "never") {
            const valid = VALID_FIELDS[this.name][path.length - 1] ?? [];
            return issueAt(
                location,
                "unknown-field",
                `${formattedPath}: unknown field; valid: ${valid.join(", ")}`,
            );
        }
        const valid = typeof path.at(-1) === "number" && field !== "calls"
            ? `an object with ${(VALID_FIELDS[this.name][path.length] ?? []).join(", ")}`
            : VALID_VALUES[String(field)] ?? `an object with ${VALID_FIELDS[this.name][0]!.join(", ")}`;
        if (issue.input === undefined) {
            return issueAt(location, "missing", `${formattedPath}: missing; give ${valid}`);
        }
        const received = typeof issue.input === "object" ? issue.received : JSON.stringify(issue.input);
        const prefix = formattedPath === "" ? "" : `${formattedPath}: `;
        return issueAt(location, "invalid", `${prefix}${received} is not valid; give ${valid}`);
    }
}
