/** Parsing of the flags that several commands share. */
import { CommandError, SettingsError } from "../errors.ts";
import type { SettingsReader } from "../settings.ts";
import { readAddresses, readUrl } from "../settings.ts";
import type { Address } from "../types.ts";

export const EXPECTED_LOG_URL = "a URL such as http://127.0.0.1:7900";
const EXPECTED_NODES = "peer addresses of nodes such as 127.0.0.1:7000,127.0.0.1:7010";

export function readNonNegativeInteger(text: string): number | undefined {
    return /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

export function readPositiveNumber(text: string): number | undefined {
    const value = /^\d{1,9}(\.\d{1,9})?$/.test(text) ? Number(text) : 0;
    return value > 0 ? value : undefined;
}

export function readNodes(reader: SettingsReader): readonly Address[] {
    return reader.optional("node", readAddresses, EXPECTED_NODES) ?? [];
}

export function readLogUrl(reader: SettingsReader): string | undefined {
    return reader.optional("log-url", readUrl, EXPECTED_LOG_URL);
}

/** Reads the shared key of the nodes, which is needed to read their control state. */
export function readPeerKey(reader: SettingsReader): string | undefined {
    return reader.optional(
        "peer-key",
        text => text.length >= 16 ? text : undefined,
        "at least 16 characters",
    );
}

/** Throws `SettingsError` if a flag was missing or invalid. */
export function checkFlags(reader: SettingsReader): void {
    if (reader.issues.length > 0) throw new SettingsError(reader.issues);
}

/** Throws `CommandError` if neither the log service nor a node is given to read from. */
export function requireSource(logUrl: string | undefined, nodes: readonly Address[]): void {
    if (logUrl !== undefined || nodes.length > 0) return;
    const message = `missing; give --log-url with ${EXPECTED_LOG_URL}, or --node with ${EXPECTED_NODES}`;
    throw new CommandError([{ code: "missing", path: ["--log-url"], message }]);
}
