/** Overload cases of the benchmark: the load and the faults of a simulation, and the intervals of overload. */
import type { Simulation } from "./simulation.ts";

export const BASE_LOAD = 0.6;
export const BEFORE_MS = 5_000;
export const OVERLOAD_MS = 3_000;
export const AFTER_MS = 5_000;

export interface OverloadCase {
    readonly name: string;
    readonly clientRetries?: number;
    /** Share of the bottleneck's capacity that is available during the overload; 1 if undefined. */
    readonly capacity?: number;
    /** Offered load during the overload, as a multiple of the bottleneck's capacity. */
    readonly load?: number;
    readonly start?: (simulation: Simulation) => void;
    readonly end?: (simulation: Simulation) => void;
    /** Number of overloads, one after another; 1 if undefined. */
    readonly repetitions?: number;
}

function slowBottleneck(factor: number): Pick<OverloadCase, "capacity" | "start" | "end"> {
    const set = (simulation: Simulation, value: number) => {
        for (const node of simulation.nodesOf(simulation.setting.bottleneck)) node.target.slowdown = value;
    };
    return {
        capacity: 1 / factor,
        start: simulation => set(simulation, factor),
        end: simulation => set(simulation, 1),
    };
}

/** One target of the bottleneck fails fast while it still counts as healthy. */
const fastFailingTarget: Pick<OverloadCase, "start" | "end"> = {
    start: simulation => {
        simulation.nodesOf(simulation.setting.bottleneck)[0]!.target.failing = true;
    },
    end: simulation => {
        simulation.nodesOf(simulation.setting.bottleneck)[0]!.target.failing = false;
    },
};

const COLD_STEPS = [8, 4, 2, 1];
const COLD_STEP_MS = 500;

/** Slows half of the bottleneck's targets, less with each step, as after a restart. */
function startColdTargets(simulation: Simulation): void {
    const nodes = simulation.nodesOf(simulation.setting.bottleneck);
    for (const node of nodes.slice(0, Math.floor(nodes.length / 2))) {
        COLD_STEPS.forEach((factor, index) => {
            simulation.world.scheduler.after(index * COLD_STEP_MS, () => {
                node.target.slowdown = factor;
            });
        });
    }
}

export const cases: readonly OverloadCase[] = [
    { name: "no overload", load: 0.9 },
    { name: "recess x3", load: 3 },
    { name: "surge x2", load: 2 },
    { name: "surge x5", load: 5 },
    { name: "surge x10", load: 10 },
    { name: "surge x5 twice", load: 5, repetitions: 2 },
    { name: "slow x5", ...slowBottleneck(5) },
    { name: "slow x20", ...slowBottleneck(20) },
    { name: "client retries x3", load: 3, clientRetries: 5 },
    { name: "lying target", ...fastFailingTarget },
    { name: "cold half", start: startColdTargets },
    { name: "surge x3, slow x5", ...slowBottleneck(5), load: 3 },
    { name: "surge x3, lying target", ...fastFailingTarget, load: 3 },
];

export interface Interval {
    readonly from: number;
    readonly to: number;
}

/** Runs a case, and returns the intervals of overload. */
export function runCase(simulation: Simulation, overloadCase: OverloadCase): readonly Interval[] {
    const { world } = simulation;
    const intervals: Interval[] = [];
    simulation.load = BASE_LOAD;
    world.run(BEFORE_MS);
    for (let i = 0; i < (overloadCase.repetitions ?? 1); i++) {
        const from = world.now;
        simulation.load = overloadCase.load ?? BASE_LOAD;
        overloadCase.start?.(simulation);
        world.run(OVERLOAD_MS);
        overloadCase.end?.(simulation);
        simulation.load = BASE_LOAD;
        intervals.push({ from, to: world.now });
        if (i + 1 < (overloadCase.repetitions ?? 1)) world.run(OVERLOAD_MS / 2);
    }
    world.run(AFTER_MS);
    simulation.load = 0;
    world.run(4_000);
    return intervals;
}
