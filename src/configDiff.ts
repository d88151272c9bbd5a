/** Compares two configurations. Lists the changes of each file by item and field, and as a text diff. */
import { createTwoFilesPatch, FILE_HEADERS_ONLY } from "diff";
import type { FileName } from "./files.ts";
import { fileNames, renderFileSet } from "./files.ts";
import type { Configuration } from "./types.ts";

export interface FileChange {
    readonly file: FileName;
    /** One line for each item that was added or removed and for each field that was changed. */
    readonly changes: readonly string[];
    /** Unified diff of the file in its canonical form. */
    readonly patch: string;
}

/** Returns the files that differ; `before` is undefined when no version is in force yet. */
export function diffConfigurations(
    before: Configuration | undefined,
    after: Configuration,
    labels: { readonly before: string; readonly after: string; },
): readonly FileChange[] {
    const oldTexts = before === undefined ? undefined : renderFileSet(before);
    const newTexts = renderFileSet(after);
    return fileNames.flatMap(file => {
        const oldText = oldTexts?.[file] ?? "";
        const newText = newTexts[file];
        if (oldText === newText) return [];
        const patch = createTwoFilesPatch(file, file, oldText, newText, labels.before, labels.after, {
            headerOptions: FILE_HEADERS_ONLY,
        });
        return [{ file, changes: describeChanges(file, before, after), patch }];
    });
}

function describeChanges(
    file: FileName,
    before: Configuration | undefined,
    after: Configuration,
): readonly string[] {
    switch (file) {
        case "kinds.yaml":
            return describeItemChanges("kind", before?.kinds ?? [], after.kinds);
        case "services.yaml":
            return describeItemChanges("service", before?.services ?? [], after.services);
        case "settings.yaml":
            return describeFieldChanges("settings", settingsOf(before), settingsOf(after));
    }
}

function settingsOf(configuration: Configuration | undefined): object {
    if (configuration === undefined) return {};
    const { resendHorizonMs, replacedServices } = configuration;
    return { resendHorizonMs, replacedServices };
}

function describeItemChanges(
    itemType: string,
    before: readonly { readonly name: string; }[],
    after: readonly { readonly name: string; }[],
): readonly string[] {
    const oldItems = new Map(before.map(item => [item.name, item]));
    const newNames = new Set(after.map(item => item.name));
    const lines = [
        ...before.filter(item => !newNames.has(item.name)).map(item => `${itemType} ${item.name}: removed`),
        ...after.flatMap(item => {
            const oldItem = oldItems.get(item.name);
            return oldItem === undefined
                ? [`${itemType} ${item.name}: added`]
                : describeFieldChanges(`${itemType} ${item.name}`, oldItem, item);
        }),
    ];
    return lines.length === 0 ? [`${itemType}s: order changed`] : lines;
}

function describeFieldChanges(label: string, before: object, after: object): readonly string[] {
    const [oldFields, newFields] = [new Map(Object.entries(before)), new Map(Object.entries(after))];
    return [...new Set([...oldFields.keys(), ...newFields.keys()])].flatMap(field => {
        const [oldValue, newValue] = [
            JSON.stringify(oldFields.get(field)),
            JSON.stringify(newFields.get(field)),
        ];
        return oldValue === newValue
            ? []
            : [`${label}: ${field} ${oldValue ?? "unset"} -> ${newValue ?? "unset"}`];
    });
}
