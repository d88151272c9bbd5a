/** Scheduler in virtual time. Actions run in the order of their times; those of the same time, in scheduling order. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import TinyQueue from "tinyqueue";

interface Action {
    readonly at: number;
    readonly seq: number;
    readonly run: () => void;
}

export class Scheduler {
    now = 0;
    private seq = 0;
    private readonly queue = new TinyQueue<Action>([], (a, b) => a.at - b.at || a.seq - b.seq);
    private readonly generator;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** Uniform in [0, 1). */
    random(): number {
        return uniformFloat64(this.generator);
    }

    /** Returns an exponentially distributed number. */
    exponential(mean: number): number {
        return -mean * Math.log(1 - this.random());
    }

    after(delayMs: number, run: () => void): void {
        this.queue.push({ at: this.now + Math.max(0, delayMs), seq: this.seq++, run });
    }

    /** Runs all actions up to and including a time, which then is the current time. */
    runUntil(time: number): void {
        for (let next = this.queue.peek(); next !== undefined && next.at <= time; next = this.queue.peek()) {
            this.queue.pop();
            this.now = next.at;
            next.run();
        }
        this.now = time;
    }
}
