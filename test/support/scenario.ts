/** Scenarios: YAML files with a setting, a seed, steps in virtual time, and expectations. */
import { readFileSync } from "node:fs";
import * as v from "valibot";
import { LineCounter, parseDocument } from "yaml";
import { recoveryTimeMs, successShare, weightedGoodput } from "../../bench/figures.ts";
import { settings } from "../../bench/settings.ts";
import type { SentRequest } from "../../bench/simulation.ts";
import { Simulation } from "../../bench/simulation.ts";
import type { FakeNode } from "../fakes/fakeNode.ts";

const nonNegativeSchema = v.pipe(v.number(), v.minValue(0));
const instanceFields = { service: v.string(), instance: v.pipe(v.number(), v.integer()) };
/** Selects the requests that were sent between two marks, or since a mark if there is no `until`. */
const intervalFields = { since: v.string(), until: v.optional(v.string()) };

const stepSchema = v.variant("do", [
    v.strictObject({ do: v.literal("load"), capacity: nonNegativeSchema }),
    v.strictObject({ do: v.literal("run"), ms: v.number() }),
    v.strictObject({ do: v.literal("mark"), name: v.string() }),
    v.strictObject({ do: v.literal("slow"), service: v.string(), factor: v.number() }),
    /** Slows one instance down by `factor` for `ms`. */
    v.strictObject({ do: v.literal("cold"), ...instanceFields, factor: v.number(), ms: v.number() }),
    v.strictObject({ do: v.literal("crash"), ...instanceFields }),
    v.strictObject({ do: v.literal("restart"), ...instanceFields }),
    v.strictObject({ do: v.literal("failing"), ...instanceFields, on: v.boolean() }),
    v.strictObject({ do: v.literal("drain"), ...instanceFields }),
    v.strictObject({ do: v.literal("cut"), dataCentres: v.tuple([v.string(), v.string()]), on: v.boolean() }),
    v.strictObject({ do: v.literal("log-outage"), on: v.boolean() }),
    v.strictObject({
        do: v.literal("expect-finished"),
        kinds: v.array(v.string()),
        ...intervalFields,
        atLeast: nonNegativeSchema,
    }),
    v.strictObject({
        do: v.literal("expect-weighted"),
        since: v.string(),
        until: v.string(),
        atLeast: nonNegativeSchema,
    }),
    v.strictObject({ do: v.literal("expect-recovered"), after: v.string(), withinMs: v.number() }),
    v.strictObject({ do: v.literal("expect-extra-attempts-allowed") }),
    v.strictObject({ do: v.literal("expect-idle") }),
]);
type ScenarioStep = v.InferOutput<typeof stepSchema>;

const scenarioSchema = v.strictObject({
    setting: v.picklist(settings.map(({ name }) => name)),
    seed: v.number(),
    clientRetries: v.optional(v.number(), 0),
    steps: v.array(stepSchema),
});

/** Runs a scenario. An error names the file and the line of the step that failed. */
export function playScenario(file: string): void {
    const lineCounter = new LineCounter();
    const doc = parseDocument(readFileSync(file, "utf8"), { lineCounter });
    const fail = (path: readonly unknown[], message: string): never => {
        const node = doc.getIn(path, true) as { readonly range?: readonly number[]; } | undefined;
        throw new Error(`${file}:${lineCounter.linePos(node?.range?.[0] ?? 0).line}: ${message}`);
    };
    if (doc.errors.length > 0) throw new Error(`${file}: ${doc.errors[0]!.message}`);
    const parsed = v.safeParse(scenarioSchema, doc.toJS());
    if (!parsed.success) {
        const issue = parsed.issues[0];
        return fail(issue.path?.map(({ key }) => key) ?? [], issue.message);
    }
    const { steps, seed, clientRetries } = parsed.output;
    const setting = settings.find(({ name }) => name === parsed.output.setting)!;
    const simulation = new Simulation({ setting, seed, clientRetries });
    const marks = new Map([["start", simulation.world.now]]);
    steps.forEach((step, index) => {
        const problem = playStep(simulation, step, marks);
        if (problem !== undefined) fail(["steps", index], problem);
    });
}

/** Runs one step. Returns a description of the failure if the step is an expectation that is not met. */
function playStep(
    simulation: Simulation,
    step: ScenarioStep,
    marks: Map<string, number>,
): string | undefined {
    const { world } = simulation;
    switch (step.do) {
        case "load":
            simulation.load = step.capacity;
            return undefined;
        case "run":
            world.run(step.ms);
            return undefined;
        case "mark":
            marks.set(step.name, world.now);
            return undefined;
        case "slow":
            for (const node of simulation.nodesOf(step.service)) node.target.slowdown = step.factor;
            return undefined;
        case "cold": {
            const { target } = nodeOf(simulation, step);
            target.slowdown = step.factor;
            world.scheduler.after(step.ms, () => {
                target.slowdown = 1;
            });
            return undefined;
        }
        case "crash":
            nodeOf(simulation, step).target.crash();
            return undefined;
        case "restart":
            nodeOf(simulation, step).target.restart();
            return undefined;
        case "failing":
            nodeOf(simulation, step).target.failing = step.on;
            return undefined;
        case "drain":
            nodeOf(simulation, step).drain();
            return undefined;
        case "cut": {
            const [a, b] = step.dataCentres.map(name =>
                world.nodes.filter(node => node.member.dataCentre === name)
            );
            world.setLinks(!step.on, a!, b!);
            return undefined;
        }
        case "log-outage":
            world.log.outage = step.on;
            return undefined;
        case "expect-finished": {
            const sent = sentIn(simulation, step, marks).filter(({ kindSetting }) =>
                step.kinds.includes(kindSetting.kind.name)
            );
            if (sent.length === 0) return "no request of these kinds in the interval";
            return checkAtLeast(
                `share of ${step.kinds.join(", ")} with status 200 within the deadline`,
                successShare(sent),
                step.atLeast,
            );
        }
        case "expect-weighted": {
            const interval = { from: timeOf(marks, step.since), to: timeOf(marks, step.until) };
            return checkAtLeast("weighted goodput", weightedGoodput(simulation, [interval], 1), step.atLeast);
        }
        case "expect-recovered": {
            const recoveryMs = recoveryTimeMs(simulation, timeOf(marks, step.after));
            return recoveryMs <= step.withinMs
                ? undefined
                : `recovered after ${recoveryMs} ms, expected within ${step.withinMs} ms`;
        }
        case "expect-extra-attempts-allowed":
            return simulation.maxExcessRetries <= 0
                ? undefined
                : `${simulation.maxExcessRetries} retries more than allowed`;
        case "expect-idle":
            return describeInFlight(world.nodes);
    }
}

function nodeOf(
    simulation: Simulation,
    step: { readonly service: string; readonly instance: number; },
): FakeNode {
    const node = simulation.nodesOf(step.service)[step.instance];
    if (node === undefined) throw new Error(`no instance ${step.instance} of ${step.service}`);
    return node;
}

function timeOf(marks: Map<string, number>, name: string): number {
    const time = marks.get(name);
    if (time === undefined) throw new Error(`no mark ${name}`);
    return time;
}

function sentIn(
    simulation: Simulation,
    step: { readonly since: string; readonly until?: string | undefined; },
    marks: Map<string, number>,
): readonly SentRequest[] {
    const from = timeOf(marks, step.since);
    const to = step.until === undefined ? simulation.world.now : timeOf(marks, step.until);
    return simulation.sent.filter(({ at }) => at >= from && at < to);
}

function checkAtLeast(name: string, value: number, atLeast: number): string | undefined {
    return value >= atLeast ? undefined : `${name} is ${value.toFixed(4)}, expected at least ${atLeast}`;
}

/** Describes the first node that still counts requests in flight; undefined if there is none. */
export function describeInFlight(nodes: readonly FakeNode[]): string | undefined {
    for (const node of nodes.filter(({ alive }) => alive)) {
        const { calls, runs, admission, routing } = node.state;
        const counts = {
            calls: calls.calls.size,
            runs: runs.runs.size,
            queue: runs.queue.size,
            "requests in flight": admission.inFlight,
            "requests awaiting calls": admission.awaitingCalls,
            "attempts in flight": routing.stats.valueSeq().reduce(
                (total, stats) => total + stats.inFlight,
                0,
            ),
        };
        const [name] = Object.entries(counts).find(([, count]) => count !== 0) ?? [];
        if (name !== undefined) {
            return `${node.member.service} still counts ${name}: ${JSON.stringify(counts)}`;
        }
    }
    return undefined;
}
