/**
 * Checks of a file set that its schemas cannot express, such as names, references and cycles. Only items that match
 * their schema are checked.
 */
import type { FileName, Item } from "./files.ts";
import type { Kind, ReplacedService, Service } from "./types.ts";

export interface CrossCheckIssue {
    readonly file: FileName;
    /** Keys and list indexes that lead from the root of the file to the invalid field. */
    readonly path: readonly (string | number)[];
    readonly code: string;
    readonly message: string;
}

export interface FileSetItems {
    readonly kinds: readonly Item<Kind>[];
    readonly services: readonly Item<Service>[];
    readonly replacedServices: readonly Item<ReplacedService>[];
    readonly resendHorizonMs: number | undefined;
    /** Includes the names of invalid items, so that an invalid item causes no further issues at its references. */
    readonly kindNames: readonly string[];
    readonly serviceNames: readonly string[];
}

/** Limits names to characters that need no escaping in URLs, flags and headers. */
const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
/** Paths that the egress listener handles itself, so that a service with such a name could not be called. */
const RESERVED_NAMES = ["announce", "drain"];

export function crossCheck(items: FileSetItems): readonly CrossCheckIssue[] {
    return [
        ...checkNames("kinds.yaml", "kinds", items.kinds),
        ...checkNames("services.yaml", "services", items.services),
        ...items.services.flatMap(service => checkReservedName(service)),
        ...items.kinds.flatMap(kind => checkDeadline(kind, items.resendHorizonMs)),
        ...items.services.flatMap(service => checkDefaultKind(service, items.kindNames)),
        ...items.services.flatMap(service => checkCalls(service, items.serviceNames)),
        ...checkCycles(items.services),
        ...checkReplacedServices(items),
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
        if (!NAME_PATTERN.test(name)) {
            const message = `name ${JSON.stringify(name)} is not valid; give 1 to 63 lower-case letters, `
                + "digits and hyphens, with no hyphen first";
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

function checkReservedName({ index, value }: Item<Service>): readonly CrossCheckIssue[] {
    if (!RESERVED_NAMES.includes(value.name)) return [];
    const message = `service name "${value.name}" is taken by a path of the egress listener; choose another`;
    return [{ file: "services.yaml", path: ["services", index, "name"], code: "reserved", message }];
}

/**
 * A node keeps the record of a key for the resend horizon. If a run took longer and its key was handed over to another
 * node, the record could expire during the run, and a retry could start the run a second time.
 */
function checkDeadline(
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
    kindNames: readonly string[],
): readonly CrossCheckIssue[] {
    // Without any named kind, kinds.yaml is invalid and has an issue of its own.
    if (kindNames.length === 0 || kindNames.includes(value.defaultKind)) return [];
    const message = `defaultKind "${value.defaultKind}" is not a valid kind; valid: ${kindNames.join(", ")}`;
    return [{
        file: "services.yaml",
        path: ["services", index, "defaultKind"],
        code: "unknown-kind",
        message,
    }];
}

function checkCalls(
    { index, value }: Item<Service>,
    serviceNames: readonly string[],
): readonly CrossCheckIssue[] {
    const otherServices = serviceNames.filter(name => name !== value.name);
    return value.calls.flatMap((callee, position) => {
        const createIssue = (code: string, message: string): CrossCheckIssue => ({
            file: "services.yaml",
            path: ["services", index, "calls", position],
            code,
            message,
        });
        if (callee === value.name) {
            return [createIssue("self-call", `service "${value.name}" calls itself; remove it from calls`)];
        }
        if (!otherServices.includes(callee)) {
            const valid = otherServices.length === 0 ? "no other service" : otherServices.join(", ");
            return [
                createIssue(
                    "unknown-service",
                    `calls lists "${callee}", which is not a service of this file set; valid: ${valid}`,
                ),
            ];
        }
        return value.calls.indexOf(callee) < position
            ? [createIssue("duplicate", `calls lists "${callee}" twice; list it once`)]
            : [];
    });
}

/**
 * With a cycle, one request could cause an unbounded number of calls. Each call that closes a cycle in the depth-first
 * search is reported once, with one cycle. A second cycle over the same call is not reported.
 */
function checkCycles(services: readonly Item<Service>[]): readonly CrossCheckIssue[] {
    const byName = new Map(services.map(service => [service.value.name, service]));
    const visited = new Set<string>();
    const issues: CrossCheckIssue[] = [];
    const visit = (name: string, callers: readonly string[]): void => {
        const service = byName.get(name);
        if (service === undefined || visited.has(name)) return;
        const callPath = [...callers, name];
        service.value.calls.forEach((callee, position) => {
            const start = callPath.indexOf(callee);
            if (start < 0) return visit(callee, callPath);
            // A service that calls itself is reported by `checkCalls`.
            if (callee === name) return;
            issues.push({
                file: "services.yaml",
                path: ["services", service.index, "calls", position],
                code: "cycle",
                message: `calls form a cycle: ${
                    [...callPath.slice(start), callee].join(" -> ")
                }; remove one of them`,
            });
        });
        visited.add(name);
    };
    for (const name of byName.keys()) visit(name, []);
    return issues;
}

function checkReplacedServices(items: FileSetItems): readonly CrossCheckIssue[] {
    const serviceNames = items.serviceNames;
    return items.replacedServices.flatMap(({ index, value }, position) => {
        const createIssue = (code: string, message: string): CrossCheckIssue => ({
            file: "settings.yaml",
            path: ["replacedServices", index, "service"],
            code,
            message,
        });
        if (serviceNames.length > 0 && !serviceNames.includes(value.service)) {
            const message =
                `replacedServices lists "${value.service}", which is not a service of this file set; valid: `
                + serviceNames.join(", ");
            return [createIssue("unknown-service", message)];
        }
        const earlier = items.replacedServices.slice(0, position);
        return earlier.some(other => other.value.service === value.service)
            ? [createIssue("duplicate", `replacedServices lists "${value.service}" twice; list it once`)]
            : [];
    });
}
