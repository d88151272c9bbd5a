/** What differs between two configurations: per file and name, and as text. */
import { createTwoFilesPatch, FILE_HEADERS_ONLY } from "diff";
import type { FileName } from "./files.ts";
import { fileNames, renderFileSet } from "./files.ts";
import type { Configuration } from "./types.ts";

export interface FileChange {
    readonly file: FileName;
    /** One line for each name that is added, removed or changed. */
    readonly changes: readonly string[];
    /** Unified diff of the files in their normal form. */
    readonly patch: string;
}

/** The files that differ; `before` is undefined when no version is in force yet. */
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
        return [{ file, changes: changesOf(file, before, after), patch }];
    });
}

function changesOf(
    file: FileName,
    before: Configuration | undefined,
    after: Configuration,
): readonly string[] {
    switch (file) {
        case "kinds.yaml":
            return changesOfItems("kind", before?.kinds ?? [], after.kinds);
        case "services.yaml":
            return changesOfItems("service", before?.services ?? [], after.services);
        case "settings.yaml":
            return changedFields("settings", settingsOf(before), settingsOf(after));
    }
}

function settingsOf(configuration: Configuration | undefined): object {
    if (configuration === undefined) return {};
    const { resendHorizonMs, replacedServices } = configuration;
    return { resendHorizonMs, replacedServices };
}

function changesOfItems(
    noun: string,
    before: readonly { readonly name: string; }[],
    after: readonly { readonly name: string; }[],
): readonly string[] {
    const old = new Map(before.map(item => [item.name, item]));
    const names = new Set(after.map(item => item.name));
    const lines = [
        ...before.filter(item => !names.has(item.name)).map(item => `${noun} ${item.name}: removed`),
        ...after.flatMap(item => {
            const former = old.get(item.name);
            return former === undefined
                ? [`${noun} ${item.name}: added`]
                : changedFields(`${noun} ${item.name}`, former, item);
        }),
    ];
    return lines.length === 0 ? [`${noun}s: another order`] : lines;
}

function changedFields(label: string, before: object, after: object): readonly string[] {
    const [old, current] = [new Map(Object.entries(before)), new Map(Object.entries(after))];
    return [...new Set([...old.keys(), ...current.keys()])].flatMap(field => {
        const [from, to] = [JSON.stringify(old.get(field)), JSON.stringify(current.get(field))];
        return from === to ? [] : [`${label}: ${field} ${from ?? "unset"} -> ${to ?? "unset"}`];
    });
}
