/** Random faults: no node may revert to an older version, and all nodes must converge on the highest one. */
import { expect } from "chai";
import * as fc from "fast-check";
import type { FakeNode } from "./fakes/fakeNode.ts";
import type { World } from "./fakes/world.ts";
import { createCluster, restartNode } from "./support/clusters.ts";
import {
    applyConfig,
    configIds,
    configNumberOf,
    createConfigRecord,
    readWholeLog,
} from "./support/versions.ts";

const SIZE = 6;
const SEED = 20_260_101;
const RUNS = 40;
const SETTLE_MS = 240_000;

type Step =
    | { readonly type: "apply" | "race" | "outage" | "expire" | "heal"; }
    | { readonly type: "slow"; readonly ms: number; }
    | { readonly type: "cutLog" | "split" | "restart" | "pause"; readonly nodes: readonly number[]; };

const someNodes = fc.uniqueArray(fc.nat(SIZE - 1), { minLength: 1, maxLength: SIZE - 1 });
const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
    { weight: 3, arbitrary: fc.constant<Step>({ type: "apply" }) },
    fc.constantFrom<Step>({ type: "race" }, { type: "outage" }, { type: "expire" }, { type: "heal" }),
    fc.constantFrom(0, 500, 5_000).map<Step>(ms => ({ type: "slow", ms })),
    fc.tuple(fc.constantFrom("cutLog", "split", "restart", "pause"), someNodes)
        .map<Step>(([type, nodes]) => ({ type, nodes })),
);
const arbitrarySteps = fc.array(fc.tuple(arbitraryStep, fc.integer({ min: 100, max: 40_000 })), {
    minLength: 3,
    maxLength: 14,
});

/** A cluster that performs random steps and checks after each second that no node reverts a version. */
class Trial {
    readonly world: World;
    /** The latest node at each address. */
    private readonly currentNodes: FakeNode[];
    private readonly highestSeen = new Map<FakeNode, number>();
    private applied = 1;

    constructor() {
        this.world = createCluster({ size: SIZE, spec: { joinAddresses: this.addresses() } });
        this.currentNodes = [...this.world.nodes];
    }

    private addresses() {
        return Array.from({ length: SIZE }, (_, i) => ({ host: "10.0.0.1", port: 7_000 + i }));
    }

    async perform(step: Step): Promise<void> {
        const { world } = this;
        switch (step.type) {
            case "apply":
                return world.log.outage ? undefined : applyConfig(world, `v${++this.applied}`);
            case "race": {
                if (world.log.outage) return;
                const base = (await readWholeLog(world))?.config?.id;
                world.appendToLog(createConfigRecord(`v${++this.applied}`, base));
                world.appendToLog(createConfigRecord(`v${++this.applied}`, base));
                return;
            }
            case "outage":
                world.log.outage = !world.log.outage;
                return;
            case "expire":
                return world.log.expireBefore(world.log.tail);
            case "slow":
                world.log.slowMs = step.ms;
                return;
            case "cutLog":
                return world.setLinks(false, this.pick(step.nodes), ["log"]);
            case "split": {
                const group = this.pick(step.nodes);
                return world.setLinks(false, group, this.currentNodes.filter(node => !group.includes(node)));
            }
            case "restart":
                for (const index of step.nodes) {
                    this.currentNodes[index] = restartNode(world, this.currentNodes[index]!, {
                        joinAddresses: this.addresses(),
                    });
                }
                return;
            case "pause":
                this.pick(step.nodes).forEach(node => node.pause());
                return;
            case "heal":
                return this.heal();
        }
    }

    private pick(indices: readonly number[]): readonly FakeNode[] {
        return indices.map(index => this.currentNodes[index]!);
    }

    heal(): void {
        this.world.cutLinks.clear();
        this.world.log.outage = false;
        this.world.log.slowMs = 0;
        for (const node of this.currentNodes) if (node.paused) node.resume();
    }

    run(durationMs: number): void {
        const until = this.world.now + durationMs;
        while (this.world.now < until) {
            this.world.run(Math.min(1_000, until - this.world.now));
            for (const node of this.currentNodes) {
                const before = this.highestSeen.get(node) ?? 0;
                expect(configNumberOf(node), `version of ${node.member.id}`).to.be.at.least(before);
                this.highestSeen.set(node, configNumberOf(node));
            }
        }
    }

    /** The highest configuration version that a running node or the log still has. */
    async highestAvailable(): Promise<number> {
        const logged = (await readWholeLog(this.world))?.config?.number ?? 0;
        return Math.max(logged, ...this.currentNodes.map(configNumberOf));
    }
}

describe("control log property", () => {
    it("never reverts a version and converges on the highest one", async () => {
        await fc.assert(
            fc.asyncProperty(arbitrarySteps, async steps => {
                const trial = new Trial();
                await trial.perform({ type: "apply" });
                trial.run(10_000);
                for (const [step, waitMs] of steps) {
                    await trial.perform(step);
                    trial.run(waitMs);
                }
                trial.heal();
                const expected = await trial.highestAvailable();
                trial.run(SETTLE_MS);
                expect(configIds(trial.world), "one version everywhere").to.have.length(1);
                expect(configNumberOf(trial.world.nodes.at(-1)!), "highest version").to.equal(expected);
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });
});
