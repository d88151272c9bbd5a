/**
 * Latencies of the request path. They are kept as raw samples until they are read, since histograms would add 0.1 s to
 * startup and cost each request more than an array write. Samples not read in time are overwritten and counted as lost.
 */

/**
 * `answered`, `refused`: from the arrival of a request at the node that forwards it to its response or refusal.
 * `queue`: the wait of a run for a slot. `target`: from the start of a run to the response of the local target.
 */
export type LatencyPhase = "answered" | "refused" | "queue" | "target";

/** Enough for 1,600 requests per second with a scrape every 5 s. */
const MAX_SAMPLES_PER_PHASE = 8192;

class SampleRing {
    private readonly values = new Float32Array(MAX_SAMPLES_PER_PHASE);
    private count = 0;
    lost = 0;

    add(ms: number): void {
        this.values[this.count % MAX_SAMPLES_PER_PHASE] = ms;
        this.count++;
    }

    /** Returns the samples since the last call, in no particular order. */
    drain(): Float32Array {
        const kept = Math.min(this.count, MAX_SAMPLES_PER_PHASE);
        this.lost += this.count - kept;
        this.count = 0;
        return this.values.slice(0, kept);
    }
}

export class LatencySamples {
    private readonly rings: Readonly<Record<LatencyPhase, SampleRing>> = {
        answered: new SampleRing(),
        refused: new SampleRing(),
        queue: new SampleRing(),
        target: new SampleRing(),
    };

    record(phase: LatencyPhase, ms: number): void {
        this.rings[phase].add(ms);
    }

    /** Returns the samples since the last call, in ms, by phase. */
    drain(): readonly (readonly [LatencyPhase, Float32Array])[] {
        return (Object.keys(this.rings) as LatencyPhase[]).map(phase => [phase, this.rings[phase].drain()]);
    }

    /** Number of samples, over all phases, that were overwritten before they were read. */
    get lost(): number {
        return Object.values(this.rings).reduce((sum, ring) => sum + ring.lost, 0);
    }
}
