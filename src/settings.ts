/**
 * Settings of the commands. Each setting comes from a flag or from the environment variable with the same name in
 * upper case and the prefix `FILBERTSPOOL_`. A flag takes precedence over its variable.
 */
import { isIP } from "node:net";
import type { Issue } from "./errors.ts";
import { SettingsError } from "./errors.ts";
import type { ParseResult } from "./parse.ts";
import type { Address } from "./types.ts";

export type Flags = Readonly<Record<string, unknown>>;
export type Environment = Readonly<Record<string, string | undefined>>;

export interface NodeSettings {
    readonly service: string;
    readonly dataCentre: string;
    readonly entry: Address;
    readonly peer: Address;
    readonly egress: Address;
    readonly logUrl: string;
    readonly join: readonly Address[];
    readonly peerKey?: string | undefined;
}

type ValueReader<T> = (text: string) => T | undefined;

/** Reads typed settings and collects an issue for each one that is missing or invalid. */
export class SettingsReader {
    readonly issues: Issue[] = [];
    private readonly flags: Flags;
    private readonly env: Environment;

    constructor(flags: Flags, env: Environment) {
        this.flags = flags;
        this.env = env;
    }

    /** Returns the value of a setting; undefined if it is not set, or is invalid, which also adds an issue. */
    optional<T>(flag: string, read: ValueReader<T>, expected: string): T | undefined {
        const text = this.rawValue(flag);
        if (text === undefined) return undefined;
        const value = read(text);
        if (value === undefined) {
            this.issues.push({
                code: "invalid",
                path: [`--${flag}`],
                message: `"${text}" is not ${expected}`,
            });
        }
        return value;
    }

    /** Returns the value of a setting; undefined if it is missing or invalid, which also adds an issue. */
    required<T>(flag: string, read: ValueReader<T>, expected: string): T | undefined {
        if (this.rawValue(flag) === undefined) {
            const message = `missing; give ${expected} (or ${environmentVariableOf(flag)})`;
            this.issues.push({ code: "missing", path: [`--${flag}`], message });
            return undefined;
        }
        return this.optional(flag, read, expected);
    }

    private rawValue(flag: string): string | undefined {
        const value = this.flags[flag];
        if (value === undefined) return this.env[environmentVariableOf(flag)];
        return typeof value === "string" || typeof value === "number" ? String(value) : "";
    }
}

export function environmentVariableOf(flag: string): string {
    return `FILBERTSPOOL_${flag.toUpperCase().replaceAll("-", "_")}`;
}

export function readName(text: string): string | undefined {
    return /^[a-z0-9][a-z0-9-]{0,62}$/.test(text) ? text : undefined;
}

/** Reads `IP:port`, with an IPv6 address in brackets; returns undefined if the text is not valid. */
export function readAddress(text: string): Address | undefined {
    const match = /^\[?([0-9a-fA-F.:]+?)\]?:(\d{1,5})$/.exec(text);
    const host = match?.[1];
    const port = Number(match?.[2]);
    if (host === undefined || isIP(host) === 0 || port < 1 || port > 65_535) return undefined;
    return { host, port };
}

export function readAddresses(text: string): readonly Address[] | undefined {
    const addresses = text.split(",").filter(part => part !== "").map(readAddress);
    return addresses.every(address => address !== undefined) ? addresses : undefined;
}

export function readUrl(text: string): string | undefined {
    return URL.canParse(text) && /^https?:/.test(text) ? text.replace(/\/$/, "") : undefined;
}

const EXPECTED_NAME = "a name of lower-case letters, digits and hyphens";
const EXPECTED_ADDRESS = "an address such as 127.0.0.1:7000";

export function safeParseNodeSettings(flags: Flags, env: Environment): ParseResult<NodeSettings> {
    const reader = new SettingsReader(flags, env);
    const service = reader.required("service", readName, EXPECTED_NAME);
    const dataCentre = reader.required("data-centre", readName, EXPECTED_NAME);
    const entry = reader.required("entry", readAddress, EXPECTED_ADDRESS);
    const peer = reader.required("peer", readAddress, EXPECTED_ADDRESS);
    const egress = reader.required("egress", readAddress, EXPECTED_ADDRESS);
    const logUrl = reader.required("log-url", readUrl, "a URL such as http://127.0.0.1:7900");
    const join = reader.optional("join", readAddresses, "a list of addresses separated by commas") ?? [];
    const peerKey = reader.optional(
        "peer-key",
        text => text.length >= 16 ? text : undefined,
        "at least 16 characters",
    );
    if (
        reader.issues.length > 0 || service === undefined || dataCentre === undefined || entry === undefined
        || peer === undefined || egress === undefined || logUrl === undefined
    ) return { success: false, issues: reader.issues };
    return { success: true, value: { service, dataCentre, entry, peer, egress, logUrl, join, peerKey } };
}

/** Throws `SettingsError` with all issues if a setting is missing or invalid. */
export function parseNodeSettings(flags: Flags, env: Environment): NodeSettings {
    const result = safeParseNodeSettings(flags, env);
    if (!result.success) throw new SettingsError(result.issues);
    return result.value;
}
