/**
 * The nodes that this node knows, with the targets beside them and what their answers have told of their load.
 * Records come from the store and from the nodes themselves; the one with the latest start and serial counts.
 */
import * as v from "valibot";
import { MAX_LEVEL } from "../policy/admissionLevel.ts";
import type { Candidate } from "../policy/loadBalancer.ts";
import type { LoadReport, NodeRecord } from "./types.ts";

const TEXT = v.pipe(v.string(), v.minLength(1), v.maxLength(200));

const nodeRecordSchema = v.object({
    name: TEXT,
    address: v.pipe(v.string(), v.regex(/^[0-9.]+:[0-9]{1,5}$/)),
    dataCentre: TEXT,
    startedAt: v.pipe(v.number(), v.integer()),
    serial: v.pipe(v.number(), v.integer()),
    target: v.optional(v.object({
        id: TEXT,
        service: TEXT,
        state: v.picklist(["ready", "draining", "gone"]),
        slots: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
        bornAt: v.pipe(v.number(), v.integer()),
    })),
});

export function safeParseNodeRecord(input: unknown): NodeRecord | undefined {
    const result = v.safeParse(nodeRecordSchema, input);
    return result.success ? { ...result.output, target: result.output.target } : undefined;
}

/** One known node; the fields that change with each request are kept here for the choice of a target. */
export class KnownNode implements Candidate {
    pending = 0;
    pendingAtReport = 0;
    report: LoadReport | undefined;
    reportedAt = 0;
    avoidUntil = 0;
    isLinked = false;
    /** Level up to which the target admits requests, as its node last told. */
    cutoff = MAX_LEVEL;

    constructor(
        public record: NodeRecord,
        readonly isLocalHost: boolean,
        readonly isLocalDataCentre: boolean,
    ) {}

    get slots(): number {
        return this.record.target?.slots ?? 1;
    }

    get isUsable(): boolean {
        return this.isLinked && this.record.target?.state === "ready";
    }

    noteReport(report: LoadReport, now: number): void {
        this.report = report;
        this.cutoff = report.cutoff;
        this.reportedAt = now;
        this.pendingAtReport = this.pending;
    }
}

/** Where a record comes from. */
export type RecordSource = "itself" | "store" | "others";

export interface DirectoryOptions {
    readonly name: string;
    readonly dataCentre: string;
    readonly onAdded: (node: KnownNode) => void;
    readonly onRemoved: (node: KnownNode) => void;
}

export class Directory {
    private readonly nodes = new Map<string, KnownNode>();
    private readonly byService = new Map<string, KnownNode[]>();

    constructor(private readonly options: DirectoryOptions) {}

    get size(): number {
        return this.nodes.size;
    }

    all(): Iterable<KnownNode> {
        return this.nodes.values();
    }

    get(name: string): KnownNode | undefined {
        return this.nodes.get(name);
    }

    /** Nodes whose target is of a service, usable or not. */
    ofService(service: string): readonly KnownNode[] {
        return this.byService.get(service) ?? [];
    }

    /**
     * Takes a record; returns whether it changed what is known. A record from the node itself or from the store also
     * replaces one with a later start if that node is not connected: clocks may step back between two starts.
     */
    learn(record: NodeRecord, source: RecordSource = "others"): boolean {
        if (!this.takeAddress(record, source)) return false;
        const known = this.nodes.get(record.name);
        if (known === undefined) {
            this.add(record);
            return true;
        }
        const isRestart = source !== "others" && !known.isLinked
            && record.startedAt !== known.record.startedAt;
        if (!isRestart && !isNewer(record, known.record)) return false;
        if (record.address !== known.record.address) {
            this.remove(record.name);
            this.add(record);
            return true;
        }
        if (record.startedAt !== known.record.startedAt || record.target?.id !== known.record.target?.id) {
            known.report = undefined;
            known.cutoff = MAX_LEVEL;
            known.avoidUntil = 0;
        }
        known.record = record;
        this.index();
        return true;
    }

    remove(name: string): void {
        const known = this.nodes.get(name);
        if (known === undefined) return;
        this.nodes.delete(name);
        this.index();
        this.options.onRemoved(known);
    }

    /**
     * One node lives at an address. The node that speaks from there displaces an earlier one; a record from elsewhere
     * does so only if it is newer and nobody is connected there. Returns whether the record may be taken.
     */
    private takeAddress(record: NodeRecord, source: RecordSource): boolean {
        for (const other of this.nodes.values()) {
            const { name, address, startedAt } = other.record;
            if (address !== record.address || name === record.name) continue;
            if (source !== "itself" && (other.isLinked || startedAt > record.startedAt)) return false;
            this.remove(name);
        }
        return true;
    }

    private add(record: NodeRecord): void {
        const isSelf = record.name === this.options.name;
        const node = new KnownNode(record, isSelf, record.dataCentre === this.options.dataCentre);
        this.nodes.set(record.name, node);
        this.index();
        this.options.onAdded(node);
    }

    private index(): void {
        this.byService.clear();
        for (const node of this.nodes.values()) {
            const service = node.record.target?.service;
            if (service === undefined) continue;
            const others = this.byService.get(service);
            if (others === undefined) this.byService.set(service, [node]);
            else others.push(node);
        }
    }
}

function isNewer(record: NodeRecord, known: NodeRecord): boolean {
    if (record.startedAt !== known.startedAt) return record.startedAt > known.startedAt;
    return record.serial > known.serial;
}
