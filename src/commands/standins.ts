/** Commands that run stand-ins for the log service, targets and callers, for tests and experiments. */
import type { Print } from "../publish.ts";
import type { Environment, Flags } from "../settings.ts";
import { readAddress, readAddresses, readName, SettingsReader } from "../settings.ts";
import { Caller } from "../standins/caller.ts";
import { LogService } from "../standins/logService.ts";
import { Target } from "../standins/target.ts";
import { formatAddress } from "../types.ts";
import { checkFlags, readNonNegativeInteger, readPositiveNumber } from "./flags.ts";

const EXPECTED_ADDRESS = "an address such as 127.0.0.1:7900";
const EXPECTED_COUNT = "a whole number";
const EXPECTED_MILLISECONDS = "a whole number of milliseconds";

export async function runStandinLog(flags: Flags, env: Environment, print: Print): Promise<void> {
    const reader = new SettingsReader(flags, env);
    const address = reader.required("listen", readAddress, EXPECTED_ADDRESS)!;
    const retentionMs = reader.optional("retention-ms", readNonNegativeInteger, EXPECTED_MILLISECONDS);
    const retentionRecords = reader.optional("retention-records", readNonNegativeInteger, EXPECTED_COUNT);
    checkFlags(reader);
    await new LogService({ address, retentionMs, retentionRecords }).start();
    print(`log service at http://${formatAddress(address)}; faults: POST /faults`);
}

export async function runStandinTarget(flags: Flags, env: Environment): Promise<void> {
    const reader = new SettingsReader(flags, env);
    const service = reader.required("service", readName, "a service name")!;
    const address = reader.required("listen", readAddress, EXPECTED_ADDRESS)!;
    const egress = reader.required("egress", readAddress, EXPECTED_ADDRESS)!;
    const slots = reader.optional("slots", readNonNegativeInteger, EXPECTED_COUNT);
    const serviceMs = reader.optional("service-ms", readNonNegativeInteger, EXPECTED_MILLISECONDS);
    const calls = reader.optional("calls", readServiceNames, "service names separated by commas") ?? [];
    checkFlags(reader);
    const target = new Target({
        service,
        address,
        egress,
        calls,
        ...(slots === undefined ? {} : { slots }),
        ...(serviceMs === undefined ? {} : { serviceMs }),
    });
    await target.start();
}

export async function runStandinCaller(flags: Flags, env: Environment, print: Print): Promise<void> {
    const reader = new SettingsReader(flags, env);
    const entries = reader.required("entry", readEntryAddresses, "entry listeners separated by commas")!;
    const kind = reader.optional("kind", readName, "the name of a kind");
    const path = reader.optional(
        "path",
        text => /^\/\S*$/.test(text) ? text : undefined,
        "a path such as /x",
    );
    const ratePerS = reader.optional("rate", readPositiveNumber, "a number of requests a second over 0")
        ?? 10;
    const durationS = reader.optional("duration-s", readPositiveNumber, "a number of seconds over 0");
    const maxRetries = reader.optional("resends", readNonNegativeInteger, EXPECTED_COUNT) ?? 2;
    const backoffMs = reader.optional("backoff-ms", readNonNegativeInteger, EXPECTED_MILLISECONDS) ?? 200;
    checkFlags(reader);
    const withIdempotencyKeys = flags["keys"] === true;
    const caller = new Caller({
        entries,
        kind,
        path: path ?? "/",
        ratePerS,
        maxRetries,
        backoffMs,
        withIdempotencyKeys,
    });
    caller.start();
    await waitForSignal(durationS);
    await caller.stop();
    for (const [outcome, count] of Object.entries(caller.outcomes())) print(`${outcome} ${count}`);
}

/**
 * Resolves at the first SIGINT or SIGTERM, or after `seconds`. Without `seconds`, the timer gets the longest delay that
 * Node.js supports, about 25 days.
 */
function waitForSignal(seconds?: number): Promise<void> {
    return new Promise(resolve => {
        const timer = setTimeout(resolve, seconds === undefined ? 2 ** 31 - 1 : seconds * 1_000);
        for (const signal of ["SIGINT", "SIGTERM"] as const) {
            process.once(signal, () => {
                clearTimeout(timer);
                resolve();
            });
        }
    });
}

function readEntryAddresses(text: string): ReturnType<typeof readAddresses> {
    const entries = readAddresses(text);
    return entries?.length === 0 ? undefined : entries;
}

function readServiceNames(text: string): readonly string[] | undefined {
    const names = text.split(",").filter(name => name !== "").map(readName);
    return names.every(name => name !== undefined) ? names : undefined;
}
