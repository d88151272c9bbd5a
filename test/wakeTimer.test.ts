/** The timer behind `wake_at` effects, on a clock of the test. */
import { expect } from "chai";
import { WakeTimer } from "../src/wakeTimer.ts";

describe("wake timer", () => {
    /** A timer whose delays all end `earlyMs` before their time. */
    function createWakes(
        earlyMs: number,
    ): { readonly timer: WakeTimer; readonly run: (until: number) => readonly number[]; } {
        let now = 0;
        let pending: { readonly run: () => void; readonly at: number; } | undefined;
        const wakes: number[] = [];
        const timer = new WakeTimer({
            now: () => now,
            wake: () => wakes.push(now),
            delay: (run, delayMs) => {
                pending = { run, at: now + Math.max(1, delayMs - earlyMs) };
                return () => pending = undefined;
            },
        });
        const run = (until: number) => {
            while (pending !== undefined && pending.at <= until) {
                const due = pending;
                pending = undefined;
                now = due.at;
                due.run();
            }
            return wakes;
        };
        return { timer, run };
    }

    // A later time that an earlier one replaced would leave a call without its deadline.
    it("keeps every time that it was asked for", () => {
        const { timer, run } = createWakes(0);
        for (const at of [5_000, 500, 2_000, 500]) timer.wakeAt(at);
        expect(run(10_000)).to.deep.equal([500, 2_000, 5_000]);
    });

    // The reducer does not ask again for a time that has not come, so an early wake would be lost.
    it("does not wake early when the delay ends early", () => {
        const { timer, run } = createWakes(3);
        timer.wakeAt(497);
        expect(run(1_000)).to.deep.equal([500]);
    });

    it("does not wake after a stop", () => {
        const { timer, run } = createWakes(0);
        timer.wakeAt(500);
        timer.stop();
        timer.wakeAt(600);
        expect(run(1_000)).to.deep.equal([]);
    });
});
