/** Reads the status documents of nodes. Only the fields that commands use are checked. */
import { request } from "undici";
import * as v from "valibot";
import { messageOf } from "./errors.ts";
import { safeParse, safeParseJson } from "./parse.ts";
import { memberSchema } from "./schemas.ts";
import type { Address, Member } from "./types.ts";
import { formatAddress } from "./types.ts";

const STATUS_TIMEOUT_MS = 2_000;
/** Nodes that are asked at once. */
const CONCURRENCY = 32;

const nodeStatusSchema = v.looseObject({
    self: memberSchema,
    config: v.optional(v.looseObject({ id: v.string(), number: v.number(), author: v.string() })),
    logOffset: v.number(),
    draining: v.boolean(),
    target: v.optional(v.looseObject({ address: v.string(), lost: v.boolean() })),
    views: v.record(v.string(), v.looseObject({ version: v.number(), members: v.array(memberSchema) })),
    admission: v.looseObject({ level: v.number(), inFlight: v.number(), limit: v.number() }),
    callsInProgress: v.number(),
    runsInProgress: v.number(),
    counters: v.record(v.string(), v.record(v.string(), v.number())),
});

const readinessSchema = v.looseObject({ version: v.number() });

export type ReadNodeStatus = v.InferOutput<typeof nodeStatusSchema>;

export type NodeAnswer =
    | { readonly address: Address; readonly success: true; readonly status: ReadNodeStatus; }
    | { readonly address: Address; readonly success: false; readonly message: string; };

export async function readNodeStatus(address: Address): Promise<NodeAnswer> {
    const answer = await readJson(address, "/status", [200], nodeStatusSchema);
    return answer.success ? { address, success: true, status: answer.value } : { address, ...answer };
}

export function readNodeStatuses(addresses: readonly Address[]): Promise<readonly NodeAnswer[]> {
    return mapInParts(addresses, readNodeStatus);
}

/** The version that a node has in memory, 0 for none, or why it did not say. */
export type VersionAnswer =
    | { readonly address: Address; readonly success: true; readonly version: number; }
    | { readonly address: Address; readonly success: false; readonly message: string; };

/** Reads versions from `/readyz`, whose answer stays small at any number of members. */
export function readNodeVersions(addresses: readonly Address[]): Promise<readonly VersionAnswer[]> {
    return mapInParts(addresses, async address => {
        const answer = await readJson(address, "/readyz", [200, 503], readinessSchema);
        return answer.success
            ? { address, success: true, version: answer.value.version }
            : { address, ...answer };
    });
}

type JsonAnswer<T> =
    | { readonly success: true; readonly value: T; }
    | { readonly success: false; readonly message: string; };

async function readJson<TSchema extends v.GenericSchema>(
    address: Address,
    path: string,
    statuses: readonly number[],
    schema: TSchema,
): Promise<JsonAnswer<v.InferOutput<TSchema>>> {
    try {
        const response = await request(`http://${formatAddress(address)}${path}`, {
            signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
        });
        const text = await response.body.text();
        const json = safeParseJson(text);
        const parsed = json.success ? safeParse(schema, json.value) : json;
        if (statuses.includes(response.statusCode) && parsed.success) return parsed;
        return { success: false, message: `${path} answered ${response.statusCode}, not as a node does` };
    }
    catch (err) {
        return { success: false, message: `unreachable: ${messageOf(err)}` };
    }
}

async function mapInParts<T, U>(values: readonly T[], map: (value: T) => Promise<U>): Promise<readonly U[]> {
    const results: U[] = [];
    for (let start = 0; start < values.length; start += CONCURRENCY) {
        results.push(...await Promise.all(values.slice(start, start + CONCURRENCY).map(map)));
    }
    return results;
}

/** Peer addresses without repetitions: the ones given, then those of members. */
export function uniqueAddresses(given: readonly Address[], members: Iterable<Member>): readonly Address[] {
    const addresses = [...given, ...Array.from(members, member => member.address)];
    return [...new Map(addresses.map(address => [formatAddress(address), address])).values()];
}

export function membersOfViews(
    views: Iterable<{ readonly members: readonly Member[]; }>,
): readonly Member[] {
    return Array.from(views).flatMap(view => view.members);
}
