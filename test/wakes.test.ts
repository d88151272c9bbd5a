/** Wakes of the reducer: one that is lost or early leaves a node waiting for ever, such as for its next log read. */
import { expect } from "chai";
import { Wakes } from "../src/wakes.ts";

describe("wakes", () => {
    /** Runs until `count` wakes have come and returns the clock at each; `clock` gives the time at each look. */
    function collect(
        count: number,
        clock: () => number,
        times: readonly number[],
    ): Promise<readonly number[]> {
        return new Promise(resolve => {
            const seen: number[] = [];
            let last = 0;
            const wakes = new Wakes({
                now: () => last = clock(),
                onWake: () => {
                    seen.push(last);
                    if (seen.length === count) resolve(seen);
                },
            });
            times.forEach(at => wakes.schedule(at));
        });
    }

    it("keeps a later wake when an earlier one is pending, in any order of asking", async () => {
        const start = performance.now();
        const clock = () => performance.now() - start;
        expect(await collect(3, clock, [20, 60, 40])).to.have.length(3);
    });

    it("waits on when a timer fires before its time", async () => {
        const readings = [0, 19.6, 19.7, 20];
        const seen = await collect(1, () => readings.shift() ?? 20, [20]);
        expect(seen).to.deep.equal([20]);
    });
});
