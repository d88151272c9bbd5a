/** Reads the status documents of nodes. Only the fields that commands use are checked. */
import { request } from "undici";
import * as v from "valibot";
import { messageOf } from "./errors.ts";
import { safeParse } from "./parse.ts";
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

export type ReadNodeStatus = v.InferOutput<typeof nodeStatusSchema>;

export type NodeAnswer =
    | { readonly address: Address; readonly success: true; readonly status: ReadNodeStatus; }
    | { readonly address: Address; readonly success: false; readonly message: string; };

export async function readNodeStatus(address: Address): Promise<NodeAnswer> {
    try {
        const response = await request(`http://${formatAddress(address)}/status`, {
            signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
        });
        const json: unknown = await response.body.json();
        const parsed = safeParse(nodeStatusSchema, json);
        if (response.statusCode === 200 && parsed.success) {
            return { address, success: true, status: parsed.value };
        }
        return {
            address,
            success: false,
            message: `answered ${response.statusCode}, not the status of a node`,
        };
    }
    catch (err) {
        return { address, success: false, message: `unreachable: ${messageOf(err)}` };
    }
}

export async function readNodeStatuses(addresses: readonly Address[]): Promise<readonly NodeAnswer[]> {
    const answers: NodeAnswer[] = [];
    for (let start = 0; start < addresses.length; start += CONCURRENCY) {
        const part = addresses.slice(start, start + CONCURRENCY);
        answers.push(...await Promise.all(part.map(readNodeStatus)));
    }
    return answers;
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
