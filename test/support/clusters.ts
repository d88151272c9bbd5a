/** Creates simulated clusters of many nodes, for tests and benchmarks of control traffic. */
import { createEntry, createMembershipState, putEntry } from "../../src/membership.ts";
import type { NodeState } from "../../src/state.ts";
import type { FakeNode } from "../fakes/fakeNode.ts";
import type { NodeSpec, WorldOptions } from "../fakes/world.ts";
import { World } from "../fakes/world.ts";

const DATA_CENTRES = ["a", "b", "c", "d"];
const NODES_PER_SERVICE = 10;
const FIRST_PORT = 7_000;

export interface ClusterOptions extends Omit<WorldOptions, "seed"> {
    readonly size: number;
    readonly seed?: number;
    /** The log service is unavailable at the start. */
    readonly logDown?: boolean;
    /** Every node has all other nodes in its member list at the start. */
    readonly knowsAllMembers?: boolean;
    readonly spec?: Partial<NodeSpec>;
}

/** Starts nodes of services `s0`, `s1`, ..., all at once: ten instances each, over four data centres. */
export function createCluster(opts: ClusterOptions): World {
    const world = new World({ ...opts, seed: opts.seed ?? 1 });
    world.log.outage = opts.logDown ?? false;
    for (let i = 0; i < opts.size; i++) addInstance(world, i, { prepare: prepareView(opts), ...opts.spec });
    if (opts.knowsAllMembers ?? false) fillMembership(world);
    return world;
}

/**
 * With `knowsAllMembers`, puts each node into its own view. Otherwise it would propose a join, and the joins of
 * 950 nodes would take most of the time of a test.
 */
function prepareView(opts: ClusterOptions): (state: NodeState) => NodeState {
    if (opts.knowsAllMembers !== true) return state => state;
    return state => {
        const view = { version: 1, offset: -1, members: [state.self], voters: [state.self] };
        const views = state.control.views.set(state.self.service, view);
        return { ...state, control: { ...state.control, views } };
    };
}

function fillMembership(world: World): void {
    const all = world.nodes.reduce(
        (members, { member }) => putEntry(members, createEntry(member, 0)),
        createMembershipState(),
    );
    for (const node of world.nodes) {
        const { id, service } = node.member;
        const members = {
            ...all,
            entries: all.entries.delete(id),
            byService: all.byService.update(service, [], ids => ids.filter(other => other !== id)),
            periodAt: node.state.members.periodAt,
            dueAt: node.state.members.dueAt,
            syncAt: world.scheduler.random() * 30_000,
            hasReceivedSync: true,
        };
        node.state = { ...node.state, members };
    }
}

export function addInstance(world: World, index: number, spec: Partial<NodeSpec> = {}): FakeNode {
    return world.addNode({
        service: `s${Math.floor(index / NODES_PER_SERVICE)}`,
        dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
        target: { slots: 10, serviceMs: 5 },
        joinAddresses: [{ host: "10.0.0.1", port: FIRST_PORT }],
        ...spec,
    });
}

/** Kills the host of a node and starts a new incarnation at the same address. */
export function restartNode(world: World, node: FakeNode, spec: Partial<NodeSpec> = {}): FakeNode {
    node.killHost();
    const { service, dataCentre, address } = node.member;
    return addInstance(world, 0, { service, dataCentre, address, ...spec });
}

export interface ControlTraffic {
    readonly messagesSent: number;
    readonly bytesSent: number;
    readonly messagesReceived: number;
    readonly bytesReceived: number;
}

/** Measures the control traffic of each node per second of simulated time. */
export function measureControlTraffic(world: World, durationMs: number): readonly ControlTraffic[] {
    const before = world.nodes.map(node => ({ ...node.traffic }));
    world.run(durationMs);
    const seconds = durationMs / 1_000;
    return world.nodes.map(({ traffic }, index) => ({
        messagesSent: (traffic.messagesSent - before[index]!.messagesSent) / seconds,
        bytesSent: (traffic.bytesSent - before[index]!.bytesSent) / seconds,
        messagesReceived: (traffic.messagesReceived - before[index]!.messagesReceived) / seconds,
        bytesReceived: (traffic.bytesReceived - before[index]!.bytesReceived) / seconds,
    }));
}
