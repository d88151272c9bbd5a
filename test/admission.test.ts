/**
 * Tests of the concurrency limit, with a target that has a known number of slots, and of the admission cutoff. They
 * guard against limits that collapse or grow without bound, and against cutoffs that admit too much or never rise
 * again.
 */
import { expect } from "chai";
import type { AdmissionState } from "../src/admission.ts";
import {
    createAdmissionState,
    hasCapacity,
    onOwnWorkDone,
    onRequestEnded,
    onRequestForwarded,
} from "../src/admission.ts";
import { adaptCutoff, createCutoffState, MAX_LEVEL, recordArrival } from "../src/cutoff.ts";
import { FakeTarget } from "./fakes/fakeTarget.ts";
import { Scheduler } from "./fakes/scheduler.ts";

/** Keeps a target saturated by sending a request whenever the limit allows one, and measures the throughput. */
class SaturatedTarget {
    state: AdmissionState = createAdmissionState();
    readonly scheduler = new Scheduler(7);
    readonly target: FakeTarget;
    private ended = 0;

    constructor(slots: number) {
        const callDownstream = () => undefined;
        this.target = new FakeTarget(
            this.scheduler,
            { slots, serviceMs: 20, callDownstream },
            () => undefined,
        );
    }

    private fill(): void {
        while (hasCapacity(this.state, 3)) {
            this.state = onRequestForwarded(this.state, this.scheduler.now);
            const done = (ok: boolean) => {
                this.state = onRequestEnded(
                    onOwnWorkDone(this.state, this.scheduler.now),
                    this.scheduler.now,
                    ok,
                );
                this.ended += 1;
                this.fill();
            };
            this.target.submit({
                requestId: "",
                kind: "",
                done: outcome => done(outcome.type === "answered" && outcome.status === 200),
            });
        }
    }

    /** Runs for a time, and returns the target's throughput in the second half of it as a share of its capacity. */
    run(ms: number, capacityPerMs: number): number {
        this.fill();
        this.scheduler.runUntil(this.scheduler.now + ms / 2);
        this.ended = 0;
        this.scheduler.runUntil(this.scheduler.now + ms / 2);
        return this.ended / (capacityPerMs * ms / 2);
    }
}

describe("concurrency limit", () => {
    for (const slots of [20, 50, 340]) {
        it(`finds ${slots} slots and follows a target that slows and speeds up`, () => {
            const saturated = new SaturatedTarget(slots);
            for (const slowdown of [1, 5, 1]) {
                saturated.target.slowdown = slowdown;
                const utilization = saturated.run(10_000, slots / 20 / slowdown);
                expect(utilization, `used at slowdown ${slowdown}`).to.be.at.least(0.95);
                expect(saturated.state.limit, `limit at slowdown ${slowdown}`).to.be.at.most(2 * slots);
            }
        });
    }

    it("lowers the limit for a target that fails fast, and raises it after the target has recovered", () => {
        const saturated = new SaturatedTarget(50);
        saturated.run(5_000, 1);
        saturated.target.failing = true;
        saturated.run(1_000, 1);
        expect(saturated.state.limit).to.be.below(10);
        saturated.target.failing = false;
        expect(saturated.run(4_000, 50 / 20)).to.be.at.least(0.95);
    });
});

describe("admission cutoff", () => {
    it("admits the rate that the target completes, and admits everything again without overload", () => {
        let state = createCutoffState();
        let now = 0;
        const runWindow = (perPriority: number, completions: number, queueEmptied: boolean) => {
            let withArrivals = state;
            for (let level = 0; level <= state.cutoff; level++) {
                if (level % Math.round(128 / perPriority) === 0) {
                    withArrivals = recordArrival(withArrivals, level);
                }
            }
            now += 100;
            state = adaptCutoff({ ...withArrivals, completions, queueEmptied }, now, 0.3, -1);
        };
        // 16 requests of each priority arrive per window, and 32 complete: the rate of two priorities.
        for (let i = 0; i < 20; i++) runWindow(16, 32, false);
        expect(state.cutoff).to.be.within(2 * 128 - 40, 2 * 128 + 40);
        for (let i = 0; i < 30; i++) runWindow(1, 8, true);
        expect(state.cutoff).to.equal(MAX_LEVEL);
    });
});
