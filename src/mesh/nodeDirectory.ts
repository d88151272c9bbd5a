/**
 * The nodes that this node knows, with their targets and the load that they reported. Records of a node come from the
 * store, from the node itself and from other nodes. The record with the latest start time, then the highest serial
 * number, is kept; `upsert` makes one exception for a node whose clock was set back.
 */
import { isIPv4 } from "node:net";
import * as v from "valibot";
import { MAX_LEVEL } from "../policy/admissionLevel.ts";
import type { Candidate } from "../policy/loadBalancer.ts";
import { storeRankOf } from "../policy/storeRole.ts";
import type { StorePeer } from "../policy/storeRole.ts";
import type { LoadReport, NodeRecord, TargetRecord } from "./types.ts";

const MAX_PORT = 65_535;
/** Maximum number of removed nodes whose last target is kept. */
const MAX_REMOVED_NODES = 256;
const shortTextSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(200));

/** An IPv4 address and a port: with any other one, opening a connection throws or looks up a name. */
const addressSchema = v.pipe(v.string(), v.check(isIpv4Address, "must be an IPv4 address and a port"));
const safeCountSchema = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

const nodeRecordSchema = v.object({
    name: shortTextSchema,
    address: addressSchema,
    dataCentre: shortTextSchema,
    startedAt: safeCountSchema,
    serial: safeCountSchema,
    target: v.optional(v.object({
        id: shortTextSchema,
        service: shortTextSchema,
        state: v.picklist(["ready", "draining", "gone"]),
        slots: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
        bornAt: safeCountSchema,
    })),
    isRefusingRuns: v.optional(v.literal(true)),
    hasLeft: v.optional(v.literal(true)),
});

function isIpv4Address(address: string): boolean {
    const [host, port, ...rest] = address.split(":");
    return rest.length === 0 && isIPv4(host!) && /^[1-9][0-9]{0,4}$/.test(port ?? "")
        && Number(port) <= MAX_PORT;
}

export function safeParseNodeRecord(input: unknown): NodeRecord | undefined {
    const result = v.safeParse(nodeRecordSchema, input);
    return result.success ? { ...result.output, target: result.output.target } : undefined;
}

/** A known node, with the load state by which the load balancer chooses a target. */
export class KnownNode implements Candidate, StorePeer {
    inFlight = 0;
    inFlightAtReport = 0;
    report: LoadReport | undefined;
    reportedAt = 0;
    avoidUntil = 0;
    isConnected = false;
    /** Whether the node has stored that it stops for good, so that it is removed with its connection. */
    hasLeft = false;
    /** Version of the node's configuration, as it last reported; 0 if unknown. */
    configVersion = 0;
    /** Whether the node can read the store, as it last reported. */
    canReadStore = true;
    /** Target of the node or, if its record has none, of its earlier process. */
    lastTarget: TargetRecord | undefined;
    /** Rank of the node among those that may follow the store. */
    readonly rank: number;
    /** Highest level that the target's node admits, as it last reported. */
    cutoff = MAX_LEVEL;

    constructor(
        public record: NodeRecord,
        readonly isSelf: boolean,
        readonly isInLocalDataCentre: boolean,
    ) {
        this.rank = storeRankOf(record.name);
        this.lastTarget = record.target;
    }

    get slots(): number {
        return this.record.target?.slots ?? 1;
    }

    get isUsable(): boolean {
        return this.isConnected && this.record.target?.state === "ready"
            && this.record.isRefusingRuns !== true;
    }

    recordLoadReport(report: LoadReport, now: number): void {
        this.report = report;
        this.cutoff = report.cutoff;
        this.reportedAt = now;
        this.inFlightAtReport = this.inFlight;
    }
}

/**
 * Who sent a record: the node that it describes (`itself`), the store, or another node (`others`). This node stores its
 * own record as `others`, too, and records from a store that has gone back to an older copy.
 */
export type RecordSource = "itself" | "store" | "others";

interface RemovedNode {
    readonly record: NodeRecord;
    readonly target: TargetRecord;
    readonly hasLeft: boolean;
}

export interface NodeDirectoryOptions {
    readonly name: string;
    readonly dataCentre: string;
    readonly onAdded: (node: KnownNode) => void;
    readonly onRemoved: (node: KnownNode) => void;
}

export class NodeDirectory {
    private readonly nodes = new Map<string, KnownNode>();
    private readonly namesByAddress = new Map<string, string>();
    private readonly nodesByService = new Map<string, KnownNode[]>();
    /** Removed nodes that had a target, by name. */
    private readonly removedNodes = new Map<string, RemovedNode>();

    constructor(private readonly options: NodeDirectoryOptions) {}

    get size(): number {
        return this.nodes.size;
    }

    allNodes(): Iterable<KnownNode> {
        return this.nodes.values();
    }

    get(name: string): KnownNode | undefined {
        return this.nodes.get(name);
    }

    /** All nodes whose target belongs to a service, including nodes that are not usable. */
    nodesOfService(service: string): readonly KnownNode[] {
        return this.nodesByService.get(service) ?? [];
    }

    /**
     * Stores a record if it is newer than the known record of the node; returns whether it was stored. While the node
     * is not connected, a record from the node itself or from the store is also stored if its start time is earlier,
     * because the node's clock may have been set back between two starts. Others' records of a node that has left since
     * are rejected.
     */
    upsert(record: NodeRecord, source: RecordSource = "others"): boolean {
        if (source === "others" && this.hasLeftSince(record)) return false;
        if (!this.claimAddress(record, source)) return false;
        const existing = this.nodes.get(record.name);
        if (existing === undefined) {
            this.add(record);
            return true;
        }
        const isRestart = source !== "others" && !existing.isConnected
            && record.startedAt !== existing.record.startedAt;
        if (!isRestart && !isNewer(record, existing.record)) return false;
        if (record.address !== existing.record.address) {
            this.remove(record.name);
            this.add(record);
            return true;
        }
        if (
            record.startedAt !== existing.record.startedAt || record.target?.id !== existing.record.target?.id
        ) {
            existing.report = undefined;
            existing.cutoff = MAX_LEVEL;
            existing.avoidUntil = 0;
            existing.canReadStore = true;
            existing.hasLeft = false;
        }
        const hasOtherService = record.target?.service !== existing.record.target?.service;
        if (hasOtherService) this.removeFromServiceIndex(existing);
        existing.record = record;
        existing.lastTarget = record.target ?? existing.lastTarget;
        if (hasOtherService) this.addToServiceIndex(existing);
        return true;
    }

    remove(name: string): void {
        const node = this.nodes.get(name);
        if (node === undefined) return;
        this.nodes.delete(name);
        this.namesByAddress.delete(node.record.address);
        this.removeFromServiceIndex(node);
        this.keepTargetOf(node);
        this.options.onRemoved(node);
    }

    /** Record of a node with the last target that it had, also if the node has been removed. */
    lastRecordOf(name: string): NodeRecord | undefined {
        const known = this.nodes.get(name);
        if (known !== undefined) return { ...known.record, target: known.lastTarget };
        const removed = this.removedNodes.get(name);
        return removed && { ...removed.record, target: removed.target };
    }

    /** Record of a node that has left, with its last target, if the node has left since `input` described it. */
    departureSince(input: unknown): NodeRecord | undefined {
        const record = safeParseNodeRecord(input);
        if (record === undefined || record.hasLeft === true || !this.hasLeftSince(record)) return undefined;
        return { ...this.lastRecordOf(record.name)!, isRefusingRuns: undefined, hasLeft: true };
    }

    private hasLeftSince({ name, startedAt }: NodeRecord): boolean {
        const removed = this.removedNodes.get(name);
        return removed?.hasLeft === true && startedAt <= removed.record.startedAt && !this.nodes.has(name);
    }

    /**
     * Keeps addresses unique: removes any other node that has the address of this record. A record from the node
     * itself always takes precedence. A record from elsewhere does so only if the other node is not connected and did
     * not start later. Returns whether the record may be stored.
     */
    private claimAddress(record: NodeRecord, source: RecordSource): boolean {
        const other = this.nodes.get(this.namesByAddress.get(record.address) ?? "");
        if (other === undefined || other.record.name === record.name) return true;
        const { name, startedAt } = other.record;
        if (source !== "itself" && (other.isConnected || startedAt > record.startedAt)) return false;
        this.remove(name);
        return true;
    }

    private add(record: NodeRecord): void {
        const isSelf = record.name === this.options.name;
        const node = new KnownNode(record, isSelf, record.dataCentre === this.options.dataCentre);
        node.lastTarget ??= this.removedNodes.get(record.name)?.target;
        this.nodes.set(record.name, node);
        this.namesByAddress.set(record.address, record.name);
        this.addToServiceIndex(node);
        this.options.onAdded(node);
    }

    /** The node may start again, and its target may still run although it has deregistered. */
    private keepTargetOf({ record, lastTarget, hasLeft }: KnownNode): void {
        if (lastTarget === undefined) return;
        this.removedNodes.delete(record.name);
        const [oldestName] = this.removedNodes.keys();
        if (this.removedNodes.size >= MAX_REMOVED_NODES) this.removedNodes.delete(oldestName!);
        this.removedNodes.set(record.name, { record, target: lastTarget, hasLeft });
    }

    private addToServiceIndex(node: KnownNode): void {
        const service = node.record.target?.service;
        if (service === undefined) return;
        const sameService = this.nodesByService.get(service);
        if (sameService === undefined) this.nodesByService.set(service, [node]);
        else sameService.push(node);
    }

    private removeFromServiceIndex(node: KnownNode): void {
        const service = node.record.target?.service;
        if (service === undefined) return;
        // A new array, because the caller may be iterating over the current one.
        const remaining = this.nodesOfService(service).filter(other => other !== node);
        if (remaining.length > 0) this.nodesByService.set(service, remaining);
        else this.nodesByService.delete(service);
    }
}

function isNewer(record: NodeRecord, existing: NodeRecord): boolean {
    if (record.startedAt !== existing.startedAt) return record.startedAt > existing.startedAt;
    return record.serial > existing.serial;
}
