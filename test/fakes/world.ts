/** A simulation in virtual time: nodes, targets, the log and a network, as fakes behind the reducer. */
import { levelOf } from "../../src/admissionLevel.ts";
import type { NodeEvent } from "../../src/events.ts";
import type { LogRecord } from "../../src/logRecords.ts";
import { reduce as reduceNode } from "../../src/reducer.ts";
import type { NodeState, Step } from "../../src/state.ts";
import type { Configuration, Kind, Member, NotRun, Unknown } from "../../src/types.ts";
import { formatAddress } from "../../src/types.ts";
import { FakeLog } from "./fakeLog.ts";
import { FakeNode } from "./fakeNode.ts";
import type { FakeTargetOptions } from "./fakeTarget.ts";
import { Scheduler } from "./scheduler.ts";

/** The result of a request, as its caller receives it. */
export type CallResult =
    | { readonly type: "answered"; readonly status: number; }
    | NotRun
    | Unknown;

export type Reduce = (state: NodeState, event: NodeEvent) => Step;

export interface WorldOptions {
    readonly seed: number;
    readonly reduce?: Reduce;
    /** One-way delay within a data centre, in ms. */
    readonly localDelayMs?: number;
    /** One-way delay between data centres, in ms. */
    readonly remoteDelayMs?: number;
    /** Invoked for each `count` effect. */
    readonly onCount?: (node: FakeNode, counter: string, label: string) => void;
}

export interface NodeSpec {
    readonly service: string;
    readonly dataCentre: string;
    readonly target: Omit<FakeTargetOptions, "callDownstream">;
    /** Changes the initial state, for example to skip joining. */
    readonly prepare?: (state: NodeState) => NodeState;
    /** The address of an earlier node, to reuse it. */
    readonly address?: Member["address"];
    readonly joinAddresses?: readonly Member["address"][];
}

/** A request from an external caller or from the local target of a node. */
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
    /** Pairs that cannot reach each other: two nodes, or a node and "log" for the log. */
    readonly cutLinks = new Set<string>();
    readonly opts: WorldOptions;
    /** Whether the network loses a datagram from one node to another. */
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

    /** Starts a node and its target, which announces itself immediately. */
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

    /** Sends an external request to a node. Calls back once with the result and returns the request id. */
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

    /** Connects to the node at a member's address after the network delay, or calls `failed`. */
    connect(from: FakeNode, to: Member, arrive: (node: FakeNode) => void, failed: () => void): void {
        const peer = this.nodeAt(to.address);
        if (peer === undefined) {
            this.scheduler.after(this.delay(from.member, to), failed);
            return;
        }
        if (this.isLinkCut(from, peer)) {
            this.scheduler.after(CONNECT_TIMEOUT_MS, failed);
            return;
        }
        this.scheduler.after(this.delay(from.member, to), () => {
            if (peer.alive) peer.whenRunning(() => arrive(peer));
            else failed();
        });
    }

    /** Delivers a message after the network delay if the receiver is alive and the link is up by then. */
    deliver(from: FakeNode, to: FakeNode, arrive: () => void): void {
        this.scheduler.after(this.delay(from.member, to.member), () => {
            if (to.alive && !this.isLinkCut(from, to)) to.whenRunning(arrive);
        });
    }

    isLinkCut(a: FakeNode, b: FakeNode | "log"): boolean {
        return this.cutLinks.has(linkName(a, b));
    }

    /** Cuts or restores all links between two groups of nodes, or between a group and the log. */
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

/** Creates a kind with defaults for tests. */
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

/** The admission level that nodes assign to a request. */
export function levelIn(configuration: Configuration, kind: string, requestId: string): number {
    return levelOf(configuration.kinds.find(found => found.name === kind)!, requestId);
}
