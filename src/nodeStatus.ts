/**
 * Reads the status and the configuration version of nodes from their peer listeners. Only the fields that commands use
 * are validated.
 */
import { request } from "undici";
import * as v from "valibot";
import { messageOf } from "./errors.ts";
import { safeParse, safeParseJson } from "./parse.ts";
import { memberSchema } from "./schemas.ts";
import type { Address, Member } from "./types.ts";
import { formatAddress } from "./types.ts";

const STATUS_TIMEOUT_MS = 2_000;
const MAX_CONCURRENT_REQUESTS = 32;

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

export type NodeStatus = v.InferOutput<typeof nodeStatusSchema>;

export type NodeStatusResult =
    | { readonly address: Address; readonly success: true; readonly status: NodeStatus; }
    | { readonly address: Address; readonly success: false; readonly message: string; };

export async function readNodeStatus(address: Address): Promise<NodeStatusResult> {
    const result = await readJson(address, "/status", [200], nodeStatusSchema);
    return result.success ? { address, success: true, status: result.value } : { address, ...result };
}

export function readNodeStatuses(addresses: readonly Address[]): Promise<readonly NodeStatusResult[]> {
    return mapInBatches(addresses, readNodeStatus);
}

/** Number of the configuration version in force on a node (0 if there is none), or why it could not be read. */
export type NodeVersionResult =
    | { readonly address: Address; readonly success: true; readonly version: number; }
    | { readonly address: Address; readonly success: false; readonly message: string; };

/** Reads versions from `/readyz`, because its response stays small however many members there are. */
export function readNodeVersions(addresses: readonly Address[]): Promise<readonly NodeVersionResult[]> {
    return mapInBatches(addresses, async address => {
        const result = await readJson(address, "/readyz", [200, 503], readinessSchema);
        return result.success
            ? { address, success: true, version: result.value.version }
            : { address, ...result };
    });
}

type JsonResult<T> =
    | { readonly success: true; readonly value: T; }
    | { readonly success: false; readonly message: string; };

async function readJson<TSchema extends v.GenericSchema>(
    address: Address,
    path: string,
    statusCodes: readonly number[],
    schema: TSchema,
): Promise<JsonResult<v.InferOutput<TSchema>>> {
    try {
        const response = await request(`http://${formatAddress(address)}${path}`, {
            signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
        });
        const body = await response.body.text();
        const json = safeParseJson(body);
        const parsed = json.success ? safeParse(schema, json.value) : json;
        if (statusCodes.includes(response.statusCode) && parsed.success) return parsed;
        return {
            success: false,
            message: `${path} returned an unexpected status code or body (status ${response.statusCode})`,
        };
    }
    catch (err) {
        return { success: false, message: `unreachable: ${messageOf(err)}` };
    }
}

async function mapInBatches<T, U>(
    values: readonly T[],
    map: (value: T) => Promise<U>,
): Promise<readonly U[]> {
    const results: U[] = [];
    for (let start = 0; start < values.length; start += MAX_CONCURRENT_REQUESTS) {
        results.push(...await Promise.all(values.slice(start, start + MAX_CONCURRENT_REQUESTS).map(map)));
    }
    return results;
}

/** Peer addresses without duplicates: the given ones, then those of the members. */
export function uniqueAddresses(given: readonly Address[], members: Iterable<Member>): readonly Address[] {
    const addresses = [...given, ...Array.from(members, member => member.address)];
    return [...new Map(addresses.map(address => [formatAddress(address), address])).values()];
}

export function membersOfViews(
    views: Iterable<{ readonly members: readonly Member[]; }>,
): readonly Member[] {
    return Array.from(views).flatMap(view => view.members);
}
