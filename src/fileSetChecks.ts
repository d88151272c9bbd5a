/** Checks across the items of a file set, on the items that are valid by themselves. */
import type { FileName, Item } from "./files.ts";
import type { Kind, ReplacedService, Service } from "./types.ts";

export interface CrossCheckIssue {
    readonly file: FileName;
    /** Keys that lead to the faulty field. */
    readonly path: readonly (string | number)[];
    readonly code: string;
    readonly message: string;
}

export interface FileSetItems {
    readonly kinds: readonly Item<Kind>[];
    readonly services: readonly Item<Service>[];
    readonly replacedServices: readonly Item<ReplacedService>[];
    readonly resendHorizonMs: number | undefined;
    /** All names, those of faulty items too, so that one fault does not bring issues about its references. */
    readonly kindNames: readonly string[];
    readonly serviceNames: readonly string[];
}

/** Names travel in URLs, flags and headers. */
const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;
/** Paths of the egress listener that are not services. */
const RESERVED = ["announce", "drain"];

export function crossCheck(items: FileSetItems): readonly CrossCheckIssue[] {
    return [
        ...checkNames("kinds.yaml", "kinds", items.kinds),
        ...checkNames("services.yaml", "services", items.services),
        ...items.services.flatMap(service => checkReserved(service)),
        ...items.kinds.flatMap(kind => checkHorizon(kind, items.resendHorizonMs)),
        ...items.services.flatMap(service => checkDefaultKind(service, items.kindNames)),
        ...items.services.flatMap(service => checkCalls(service, items.serviceNames)),
        ...checkCycles(items.services),
        ...checkReplaced(items),
    ];
}

function checkNames(
    file: FileName,
    list: string,
    items: readonly Item<{ readonly name: string; }>[],
): readonly CrossCheckIssue[] {
    const seen = new Set<string>();
    return items.flatMap(({ index, value: { name } }) => {
        const path = [list, index, "name"];
        const issues: CrossCheckIssue[] = [];
        if (!NAME.test(name)) {
            const message = `name ${JSON.stringify(name)} is not valid; give at most 63 lower-case letters, `
                + "digits and hyphens";
            issues.push({ file, path, code: "name", message });
        }
        if (seen.has(name)) {
            const message = `duplicate name "${name}"; give each of the ${list} a name of its own`;
            issues.push({ file, path, code: "duplicate", message });
        }
        seen.add(name);
        return issues;
    });
}

function checkReserved({ index, value }: Item<Service>): readonly CrossCheckIssue[] {
    if (!RESERVED.includes(value.name)) return [];
    const message = `service name "${value.name}" is taken by a path of the egress listener; choose another`;
    return [{ file: "services.yaml", path: ["services", index, "name"], code: "reserved", message }];
}

/** A run that may outlast its record could be started a second time. */
function checkHorizon(
    { index, value }: Item<Kind>,
    resendHorizonMs: number | undefined,
): readonly CrossCheckIssue[] {
    if (!value.nonIdempotent || resendHorizonMs === undefined || value.deadlineMs <= resendHorizonMs) {
        return [];
    }
    const message =
        `deadlineMs ${value.deadlineMs} of non-idempotent kind "${value.name}" is over the resend `
        + `horizon; give at most ${resendHorizonMs} (resendHorizonMs in settings.yaml)`;
    return [{ file: "kinds.yaml", path: ["kinds", index, "deadlineMs"], code: "horizon", message }];
}

function checkDefaultKind(
    { index, value }: Item<Service>,
    names: readonly string[],
): readonly CrossCheckIssue[] {
    // Without one kind, the issues of kinds.yaml say what is wrong.
    if (names.length === 0 || names.includes(value.defaultKind)) return [];
    const message = `defaultKind "${value.defaultKind}" is not a valid kind; valid: ${names.join(", ")}`;
    return [{
        file: "services.yaml",
        path: ["services", index, "defaultKind"],
        code: "unknown-kind",
        message,
    }];
}

function checkCalls(
    { index, value }: Item<Service>,
    names: readonly string[],
): readonly CrossCheckIssue[] {
    const others = names.filter(name => name !== value.name);
    return value.calls.flatMap((called, position) => {
        const issue = (code: string, message: string): CrossCheckIssue => ({
            file: "services.yaml",
            path: ["services", index, "calls", position],
            code,
            message,
        });
        if (called === value.name) {
            return [issue("self-call", `service "${value.name}" calls itself; remove it from calls`)];
        }
        if (!others.includes(called)) {
            const valid = others.length === 0 ? "no other service" : others.join(", ");
            return [
                issue("unknown-service", `calls names "${called}", not a valid service; valid: ${valid}`),
            ];
        }
        return value.calls.indexOf(called) < position
            ? [issue("duplicate", `calls names "${called}" twice; name it once`)]
            : [];
    });
}

/** A cycle would let one request multiply without bound. Each cycle is reported once, at its last call. */
function checkCycles(services: readonly Item<Service>[]): readonly CrossCheckIssue[] {
    const byName = new Map(services.map(service => [service.value.name, service]));
    const done = new Set<string>();
    const issues: CrossCheckIssue[] = [];
    const visit = (name: string, chain: readonly string[]): void => {
        const service = byName.get(name);
        if (service === undefined || done.has(name)) return;
        const path = [...chain, name];
        service.value.calls.forEach((called, position) => {
            const start = path.indexOf(called);
            if (start < 0) return visit(called, path);
            if (called === name) return;
            issues.push({
                file: "services.yaml",
                path: ["services", service.index, "calls", position],
                code: "cycle",
                message: `calls form a cycle: ${
                    [...path.slice(start), called].join(" -> ")
                }; remove one of them`,
            });
        });
        done.add(name);
    };
    for (const name of byName.keys()) visit(name, []);
    return issues;
}

function checkReplaced(items: FileSetItems): readonly CrossCheckIssue[] {
    const names = items.serviceNames;
    return items.replacedServices.flatMap(({ index, value }, position) => {
        const issue = (code: string, message: string): CrossCheckIssue => ({
            file: "settings.yaml",
            path: ["replacedServices", index, "service"],
            code,
            message,
        });
        if (names.length > 0 && !names.includes(value.service)) {
            const message = `replacedServices names "${value.service}", not a valid service; valid: `
                + names.join(", ");
            return [issue("unknown-service", message)];
        }
        const earlier = items.replacedServices.slice(0, position);
        return earlier.some(other => other.value.service === value.service)
            ? [issue("duplicate", `replacedServices names "${value.service}" twice; name it once`)]
            : [];
    });
}
