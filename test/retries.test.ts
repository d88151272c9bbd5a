/**
 * Property test of attempts under random faults. Retries must stay within the allowance, all counts of requests in
 * flight must return to zero, and a request that was reported as "not run" must not have run.
 */
import { expect } from "chai";
import fc from "fast-check";
import type { CallResult } from "./fakes/world.ts";
import { createConfiguration, createKind, World } from "./fakes/world.ts";
import { describeInFlight } from "./support/scenario.ts";

interface SentRequest {
    readonly id: string;
    readonly kind: string;
    result?: CallResult;
}

const kinds = [
    createKind("read", { retries: 3, deadlineMs: 400 }),
    createKind("pay", { retries: 2, deadlineMs: 400, nonIdempotent: true, priority: 0 }),
];

/** Services that each service calls: `fan` calls two, one after the other, and each of these calls `leaf`. */
const graph = { fan: ["left", "right"], left: ["leaf"], right: ["leaf"], leaf: [] };

function createFanOut(seed: number): World {
    const world = new World({ seed });
    for (const [service, calls] of Object.entries(graph)) {
        for (const dataCentre of ["a", "b"]) {
            world.addNode({ service, dataCentre, target: { slots: 3, serviceMs: 10, calls } });
        }
    }
    const services = Object.keys(graph).map(name => ({
        name,
        defaultKind: "read",
        calls: [],
        connections: 10,
    }));
    const configuration = createConfiguration({ kinds, services });
    world.appendToLog({ type: "config", id: "v1", base: "none", author: "test", configuration });
    world.run(10_000);
    return world;
}

const faults = fc.array(
    fc.record({
        action: fc.constantFrom("cut", "reconnect", "crash", "restart", "fail", "recover", "slow", "fast"),
        node: fc.nat(7),
        burst: fc.integer({ min: 1, max: 30 }),
        runMs: fc.integer({ min: 1, max: 150 }),
    }),
    { minLength: 3, maxLength: 12 },
);

function runFaults(seed: number, steps: typeof faults extends fc.Arbitrary<infer T> ? T : never) {
    const world = createFanOut(seed);
    const retryCounts = new Map<string, number>();
    let isTransparentRetry = false;
    for (const node of world.nodes) {
        node.onEffect = effect => {
            if (effect.type === "count" && effect.counter === "redirects") isTransparentRetry = true;
            // The first attempt of a call is no retry.
            if (effect.type !== "send_attempt" || effect.attempt === 0) return;
            if (!isTransparentRetry) {
                retryCounts.set(effect.ctx.requestId, (retryCounts.get(effect.ctx.requestId) ?? 0) + 1);
            }
            isTransparentRetry = false;
        };
    }
    const sent: SentRequest[] = [];
    for (const { action, node: index, burst, runMs } of steps) {
        const node = world.nodes[index]!;
        const others = world.nodes.filter(other => other !== node);
        if (action === "cut" || action === "reconnect") {
            world.setLinks(action === "reconnect", [node], others);
        }
        if (action === "crash") node.target.crash();
        if (action === "restart") node.target.restart();
        if (action === "fail" || action === "recover") node.target.failing = action === "fail";
        if (action === "slow" || action === "fast") node.target.slowdown = action === "slow" ? 20 : 1;
        for (let i = 0; i < burst; i++) {
            const kind = kinds[i % kinds.length]!.name;
            const request: SentRequest = { id: "", kind };
            const id = world.request(world.nodes[i % 2]!, kind, outcome => {
                request.result = outcome;
            });
            sent.push(Object.assign(request, { id }));
        }
        world.run(runMs);
    }
    world.setLinks(true, world.nodes, world.nodes);
    world.run(5_000);
    return { world, retryCounts, sent };
}

describe("attempts under faults", () => {
    it("stay within the retry allowance, end every call and never report a started request as not run", () => {
        fc.assert(
            fc.property(fc.integer({ min: 1, max: 1_000 }), faults, (seed, steps) => {
                const { world, retryCounts, sent } = runFaults(seed, steps);
                for (const { id, kind, result: outcome } of sent) {
                    const { retries, nonIdempotent } = kinds.find(({ name }) => name === kind)!;
                    expect(retryCounts.get(id) ?? 0, "retries").to.be.at.most(retries);
                    expect(outcome, "result").to.not.equal(undefined);
                    const starts = world.nodes.map(node => ({
                        service: node.member.service,
                        count: node.target.started.filter(task => task.requestId === id).length,
                    }));
                    const total = starts.reduce((sum, { count }) => sum + count, 0);
                    if (outcome?.type === "not-run") expect(total, "starts of a request not run").to.equal(0);
                    if (!nonIdempotent) continue;
                    const fanStarts = starts.filter(({ service }) => service === "fan");
                    expect(fanStarts.reduce((sum, { count }) => sum + count, 0), "starts of a payment").to.be
                        .at
                        .most(1);
                }
                expect(describeInFlight(world.nodes)).to.equal(undefined);
            }),
            { numRuns: 60, seed: 1 },
        );
    });
});
