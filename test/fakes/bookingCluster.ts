/**
 * A world with a service of non-idempotent requests. The cluster overrides what the nodes' failure detectors report: a
 * member is dead after 4 s without contact, and alive again after the next contact.
 */
import { ownerOf } from "../../src/keys.ts";
import { createEntry } from "../../src/membership.ts";
import type { FakeNode } from "./fakeNode.ts";
import type { CallResult, NodeSpec } from "./world.ts";
import { createConfiguration, createKind, World } from "./world.ts";

const DETECTION_PERIOD_MS = 250;
const DEAD_AFTER_MS = 4_000;
const DATA_CENTRES = ["a", "b", "c"] as const;
const HORIZON_MS = 600_000;

export interface BookingClusterOptions {
    readonly seed?: number;
    readonly nodes?: number;
    /** Number of nodes of another service, which may become voters. */
    readonly otherNodes?: number;
    readonly deadlineMs?: number;
    readonly horizonMs?: number;
    readonly target?: Partial<NodeSpec["target"]>;
}

export class BookingCluster {
    readonly world: World;
    private readonly opts: BookingClusterOptions;
    private readonly lastSeen = new Map<string, number>();

    constructor(opts: BookingClusterOptions = {}) {
        this.opts = opts;
        this.world = new World({ seed: opts.seed ?? 1 });
        const { nodes = 5, otherNodes = 0, deadlineMs = 1_000, horizonMs = HORIZON_MS } = opts;
        for (let i = 0; i < nodes; i++) this.add("booking", i);
        for (let i = 0; i < otherNodes; i++) this.add("gallery", i);
        const kinds = [
            createKind("book", { nonIdempotent: true, deadlineMs }),
            createKind("browse", { deadlineMs }),
        ];
        const services = ["booking", "gallery"]
            .map(name => ({ name, defaultKind: "book", calls: [], connections: 10 }));
        const configuration = createConfiguration({ kinds, services, resendHorizonMs: horizonMs });
        this.world.appendToLog({ type: "config", id: "v1", base: "none", author: "test", configuration });
        this.updateFailureDetectors();
    }

    add(service: string, index: number, address?: NodeSpec["address"]): FakeNode {
        const target = { slots: 10, serviceMs: 5, ...this.opts.target };
        return this.world.addNode({ service, dataCentre: DATA_CENTRES[index % 3]!, target, address });
    }

    /** Runs until all nodes have joined the view and hold a lease. */
    settle(): this {
        this.world.run(15_000);
        return this;
    }

    get nodes(): readonly FakeNode[] {
        return this.world.nodes.filter(node => node.member.service === "booking");
    }

    viewAt(node: FakeNode) {
        return node.state.control.views.get("booking")!;
    }

    memberIds(node: FakeNode): readonly string[] {
        return this.viewAt(node).members.map(member => member.id);
    }

    /** The node that owns a caller's key, according to the view of `node`. */
    ownerOf(node: FakeNode, key: string): FakeNode {
        const owner = ownerOf(this.viewAt(node), `entry:${key}`);
        return this.world.nodes.find(found => found.member.id === owner?.id)!;
    }

    /** Returns a key whose owner satisfies a condition. */
    keyOwnedBy(node: FakeNode, accepts: (owner: FakeNode) => boolean, prefix = "key"): string {
        for (let i = 0;; i++) {
            if (accepts(this.ownerOf(node, `${prefix}-${i}`))) return `${prefix}-${i}`;
        }
    }

    /** Sends a booking, runs for a time, and returns the result; undefined if there is none yet. */
    book(node: FakeNode, key?: string, runMs = 2_000): CallResult | undefined {
        let result: CallResult | undefined;
        this.world.request(node, "book", outcome => result = outcome, key === undefined ? {} : { key });
        this.world.run(runMs);
        return result;
    }

    /** Number of times that targets started a request with a caller's key. */
    startCount(key: string): number {
        return this.startedTasks().filter(task => task.key === `entry:${key}`).length;
    }

    startedTasks() {
        return this.nodes.flatMap(node => node.target.started);
    }

    private updateFailureDetectors(): void {
        const { now, nodes, scheduler } = this.world;
        for (const observer of nodes) {
            for (const other of nodes) {
                const name = `${observer.member.id} ${other.member.id}`;
                const isSeen = observer.paused || (other.alive && !other.paused
                    && !this.world.isLinkCut(observer, other));
                if (isSeen || !this.lastSeen.has(name)) this.lastSeen.set(name, now);
                const status = now - this.lastSeen.get(name)! >= DEAD_AFTER_MS ? "dead" : "alive";
                const { members } = observer.state;
                if ((members.entries.get(other.member.id)?.status ?? "alive") === status) continue;
                const entry = { ...createEntry(other.member, now), status } as const;
                const entries = members.entries.set(other.member.id, entry);
                observer.state = { ...observer.state, members: { ...members, entries } };
            }
        }
        scheduler.after(DETECTION_PERIOD_MS, () => this.updateFailureDetectors());
    }
}
