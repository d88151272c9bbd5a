/**
 * Latencies of the request path, kept as plain samples until they are read: building histograms costs a start 0.1 s
 * and each request more than a write into an array. Samples that are not read in time are overwritten and counted.
 */
export type LatencyPhase = "answered" | "refused" | "queue" | "target";

/** Samples kept of one phase: with a scrape each 5 s, those of 1,600 requests a second. */
const MAX_SAMPLES_PER_PHASE = 8192;

class SampleRing {
    private readonly values = new Float32Array(MAX_SAMPLES_PER_PHASE);
    private count = 0;
    lost = 0;

    add(ms: number): void {
        this.values[this.count % MAX_SAMPLES_PER_PHASE] = ms;
        this.count++;
    }

    /** Returns the samples since the last call, in no order. */
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

    /** Samples in ms since the last call, by phase. */
    drain(): readonly (readonly [LatencyPhase, Float32Array])[] {
        return (Object.keys(this.rings) as LatencyPhase[]).map(phase => [phase, this.rings[phase].drain()]);
    }

    /** Samples of all phases that were overwritten before they were read. */
    get lost(): number {
        return Object.values(this.rings).reduce((sum, ring) => sum + ring.lost, 0);
    }
}
