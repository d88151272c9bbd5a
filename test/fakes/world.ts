/** Nodes with their targets, the log and a network, in virtual time: small fakes behind the reducer's effects. */
import type { NodeEvent } from "../../src/events.ts";
import type { LogRecord } from "../../src/logRecords.ts";
import { levelOf } from "../../src/priority.ts";
import { reduce as reduceNode } from "../../src/reducer.ts";
import type { NodeState, Step } from "../../src/state.ts";
import type { Configuration, Kind, Member, NotRun, Unknown } from "../../src/types.ts";
import { formatAddress } from "../../src/types.ts";
import { FakeLog } from "./fakeLog.ts";
import { FakeNode } from "./fakeNode.ts";
import type { FakeTargetOptions } from "./fakeTarget.ts";
import { Scheduler } from "./scheduler.ts";

/** What the caller of a request was told, or that it is still waiting. */
export type CallResult =
    | { readonly type: "answered"; readonly status: number; }
    | NotRun
    | Unknown;

export type Reduce = (state: NodeState, event: NodeEvent) => Step;

export interface WorldOptions {
    readonly seed: number;
    readonly reduce?: Reduce;
    /** One-way delay within and between data centres, ms. */
    readonly localDelayMs?: number;
    readonly remoteDelayMs?: number;
    /** Invoked for each `count` effect. */
    readonly onCount?: (node: FakeNode, counter: string, label: string) => void;
}

export interface NodeSpec {
    readonly service: string;
    readonly dataCentre: string;
    readonly target: Omit<FakeTargetOptions, "callDownstream">;
    /** State to start from instead of an empty one; lets a test skip joining. */
    readonly prepare?: (state: NodeState) => NodeState;
    /** Reuses the address of an earlier node. */
    readonly address?: Member["address"];
    readonly joinAddresses?: readonly Member["address"][];
}

/** A request of a caller outside or of the target beside a node. */
export interface NewRequest {
    readonly from: "entry" | "egress";
    readonly service: string;
    readonly requestId: string;
    readonly kind?: string | undefined;
    readonly key?: string | undefined;
}

const CONNECT_TIMEOUT_MS = 1_000;
const FIRST_PORT = 7_000;

export class World {
    readonly scheduler: Scheduler;
    readonly log = new FakeLog();
    readonly nodes: FakeNode[] = [];
    readonly reduce: Reduce;
    /** Pairs of nodes that cannot reach each other; a node and "log" for the log. */
    readonly cutLinks = new Set<string>();
    readonly opts: WorldOptions;
    /** Whether the network loses a datagram; it may differ by direction. */
    dropsDatagram: (from: FakeNode, to: FakeNode) => boolean = () => false;
    private readonly byAddress = new Map<string, FakeNode>();
    private nextPort = FIRST_PORT;

    constructor(opts: WorldOptions) {
        this.opts = opts;
        this.scheduler = new Scheduler(opts.seed);
        this.reduce = opts.reduce ?? reduceNode;
    }

    get now(): number {
        return this.scheduler.now;
    }

    /** Starts a node and its target, which announces itself at once. */
    addNode(spec: NodeSpec): FakeNode {
        const member: Member = {
            id: this.randomHex(16),
            service: spec.service,
            address: spec.address ?? { host: "10.0.0.1", port: this.nextPort++ },
            dataCentre: spec.dataCentre,
        };
        const node = new FakeNode(this, member, spec);
        this.nodes.push(node);
        this.byAddress.set(formatAddress(member.address), node);
        node.start();
        return node;
    }

    /** The running node at an address. */
    nodeAt(address: Member["address"]): FakeNode | undefined {
        const node = this.byAddress.get(formatAddress(address));
        return node?.alive === true ? node : undefined;
    }

    /** Sends a request to the entry of a node; calls back once. */
    request(
        node: FakeNode,
        kind: string,
        done: (result: CallResult) => void,
        opts: { readonly key?: string; readonly requestId?: string; } = {},
    ): string {
        const requestId = opts.requestId ?? this.randomHex(32);
        node.startCall({ from: "entry", service: node.member.service, requestId, kind, key: opts.key }, done);
        return requestId;
    }

    /** Carries a message between nodes after the network's delay, or tells that no connection could be made. */
    connect(from: FakeNode, to: Member, arrive: (node: FakeNode) => void, failed: () => void): void {
        const target = this.nodeAt(to.address);
        if (target === undefined) {
            this.scheduler.after(this.delay(from.member, to), failed);
            return;
        }
        if (this.isLinkCut(from, target)) {
            this.scheduler.after(CONNECT_TIMEOUT_MS, failed);
            return;
        }
        this.scheduler.after(this.delay(from.member, to), () => {
            if (target.alive) target.whenRunning(() => arrive(target));
            else failed();
        });
    }

    /** Delivers something later if both ends are then alive and the link is up; it is lost otherwise. */
    deliver(from: FakeNode, to: FakeNode, arrive: () => void): void {
        this.scheduler.after(this.delay(from.member, to.member), () => {
            if (to.alive && !this.isLinkCut(from, to)) to.whenRunning(arrive);
        });
    }

    isLinkCut(a: FakeNode, b: FakeNode | "log"): boolean {
        return this.cutLinks.has(linkName(a, b));
    }

    /** Cuts or mends all links between two groups, or between a group and the log. */
    setLinks(up: boolean, groupA: readonly FakeNode[], groupB: readonly (FakeNode | "log")[]): void {
        for (const a of groupA) {
            for (const b of groupB) {
                if (up) this.cutLinks.delete(linkName(a, b));
                else this.cutLinks.add(linkName(a, b));
            }
        }
    }

    run(durationMs: number): void {
        this.scheduler.runUntil(this.scheduler.now + durationMs);
    }

    appendToLog(record: LogRecord): void {
        this.log.append(record);
    }

    randomHex(digits: number): string {
        let text = "";
        while (text.length < digits) {
            text += Math.floor(this.scheduler.random() * 0x1000000).toString(16).padStart(6, "0");
        }
        return text.slice(0, digits);
    }

    private delay(a: Member, b: Member): number {
        const { localDelayMs = 0.1, remoteDelayMs = 1 } = this.opts;
        return a.dataCentre === b.dataCentre ? localDelayMs : remoteDelayMs;
    }
}

function linkName(a: FakeNode, b: FakeNode | "log"): string {
    const other = b === "log" ? "log" : b.member.id;
    return a.member.id < other ? `${a.member.id} ${other}` : `${other} ${a.member.id}`;
}

/** A kind with defaults for tests. */
export function createKind(name: string, opts: Partial<Kind> = {}): Kind {
    return {
        name,
        priority: 3,
        worth: 1,
        nonIdempotent: false,
        retries: 2,
        deadlineMs: 1_000,
        external: true,
        ...opts,
    };
}

export function createConfiguration(opts: Partial<Configuration> = {}): Configuration {
    return { kinds: [], services: [], resendHorizonMs: 600_000, replacedServices: [], ...opts };
}

/** Level of a request as the nodes see it. */
export function levelIn(configuration: Configuration, kind: string, requestId: string): number {
    return levelOf(configuration.kinds.find(found => found.name === kind)!, requestId);
}
