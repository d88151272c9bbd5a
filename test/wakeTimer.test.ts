/** The timer behind `wake_at` effects, on a clock of the test. */
import { expect } from "chai";
import { WakeTimer } from "../src/wakeTimer.ts";

describe("wake timer", () => {
    /** A timer whose delays all end `earlyMs` before their time. */
    function createTimer(
        earlyMs: number,
    ): { readonly timer: WakeTimer; readonly runUntil: (until: number) => readonly number[]; } {
        let now = 0;
        let pendingDelay: { readonly callback: () => void; readonly at: number; } | undefined;
        const wakes: number[] = [];
        const timer = new WakeTimer({
            now: () => now,
            wake: () => wakes.push(now),
            delay: (callback, delayMs) => {
                pendingDelay = { callback, at: now + Math.max(1, delayMs - earlyMs) };
                return () => pendingDelay = undefined;
            },
        });
        const runUntil = (until: number) => {
            while (pendingDelay !== undefined && pendingDelay.at <= until) {
                const due = pendingDelay;
                pendingDelay = undefined;
                now = due.at;
                due.callback();
            }
            return wakes;
        };
        return { timer, runUntil: runUntil };
    }

    // A later time that an earlier one replaced would leave a call without its deadline.
    it("keeps every time that it was asked for", () => {
        const { timer, runUntil: run } = createTimer(0);
        for (const at of [5_000, 500, 2_000, 500]) timer.wakeAt(at);
        expect(run(10_000)).to.deep.equal([500, 2_000, 5_000]);
    });

    // The reducer does not ask again for a time that has not come, so an early wake would be lost.
    it("does not wake early when the delay ends early", () => {
        const { timer, runUntil: run } = createTimer(3);
        timer.wakeAt(497);
        expect(run(1_000)).to.deep.equal([500]);
    });

    it("does not wake after a stop", () => {
        const { timer, runUntil: run } = createTimer(0);
        timer.wakeAt(500);
        timer.stop();
        timer.wakeAt(600);
        expect(run(1_000)).to.deep.equal([]);
    });
});
