/** Tests the timer of `wake_at` effects with a simulated clock. */
import { expect } from "chai";
import { WakeTimer } from "../src/wakeTimer.ts";

describe("wake timer", () => {
    /** Creates a timer whose delays all end `earlyMs` too early. */
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
        return { timer, runUntil };
    }

    // If an earlier time replaced a later one, the deadline of a call would never fire.
    it("wakes at every requested time", () => {
        const { timer, runUntil } = createTimer(0);
        for (const at of [5_000, 500, 2_000, 500]) timer.wakeAt(at);
        expect(runUntil(10_000)).to.deep.equal([500, 2_000, 5_000]);
    });

    // The reducer requests a time only once, so a wake-up before that time would be lost.
    it("does not wake early when the delay ends early", () => {
        const { timer, runUntil } = createTimer(3);
        timer.wakeAt(497);
        expect(runUntil(1_000)).to.deep.equal([500]);
    });

    it("does not wake after it was stopped", () => {
        const { timer, runUntil } = createTimer(0);
        timer.wakeAt(500);
        timer.stop();
        timer.wakeAt(600);
        expect(runUntil(1_000)).to.deep.equal([]);
    });
});
