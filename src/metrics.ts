/** Prometheus metrics of a node: counters with one label each, admission gauges and latency percentiles. */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Counter as PromCounter, Gauge, Registry } from "prom-client";
import type { Counter } from "./effects.ts";
import type { LoadReport } from "./types.ts";

const LABEL_NAMES: Readonly<Record<Counter, string>> = {
    refusals: "reason",
    unknowns: "reason",
    retries: "reason",
    retries_denied: "reason",
    redirects: "reason",
    late_answers: "outcome",
    calls: "kind",
    runs: "kind",
    untracked_calls: "service",
    bad_messages: "reason",
    control_messages: "type",
    control_bytes_sent: "channel",
    control_bytes_received: "channel",
    view_changes: "verdict",
    config_records: "verdict",
};

const PERCENTILES = [50, 90, 99, 99.9] as const;
const MICROSECONDS_PER_MS = 1_000;
const MICROSECONDS_PER_S = 1_000_000;
/** One hour. Longer latencies are recorded as one hour. */
const HIGHEST_LATENCY_US = 3_600 * MICROSECONDS_PER_S;

export class Metrics {
    readonly registry = new Registry();
    private readonly counters = new Map<Counter, PromCounter>();
    private readonly latencies = new Map<string, Histogram>();

    constructor() {
        for (const [counter, label] of Object.entries(LABEL_NAMES) as [Counter, string][]) {
            const metric = new PromCounter({
                name: `filbertspool_${counter}_total`,
                help: `Number of ${counter.replaceAll("_", " ")}`,
                labelNames: [label],
                registers: [this.registry],
            });
            this.counters.set(counter, metric);
        }
        this.registerLatencyGauge();
    }

    count(counter: Counter, label: string, by = 1): void {
        this.counters.get(counter)?.inc({ [LABEL_NAMES[counter]]: label }, by);
    }

    /** Records a latency of a phase such as `call` or `run`. */
    observe(phase: string, latencyMs: number): void {
        let histogram = this.latencies.get(phase);
        if (histogram === undefined) {
            histogram = build({
                highestTrackableValue: HIGHEST_LATENCY_US,
                numberOfSignificantValueDigits: 2,
            });
            this.latencies.set(phase, histogram);
        }
        histogram.recordValue(Math.min(HIGHEST_LATENCY_US, Math.round(latencyMs * MICROSECONDS_PER_MS)));
    }

    /** Returns the values of one counter by label value. */
    async values(counter: Counter): Promise<Readonly<Record<string, number>>> {
        const metric = await this.counters.get(counter)!.get();
        return Object.fromEntries(
            metric.values.map(value => [String(value.labels[LABEL_NAMES[counter]]), value.value]),
        );
    }

    async allValues(): Promise<Readonly<Record<string, Readonly<Record<string, number>>>>> {
        const names = Object.keys(LABEL_NAMES) as Counter[];
        return Object.fromEntries(
            await Promise.all(names.map(async name => [name, await this.values(name)] as const)),
        );
    }

    /** Registers gauges for the admission state, which is read whenever the metrics are scraped. */
    registerLoadGauges(read: () => LoadReport): void {
        for (const field of ["level", "inFlight", "limit"] as const) {
            new Gauge({
                name: `filbertspool_admission_${field === "inFlight" ? "in_flight" : field}`,
                help: `Admission: ${field}`,
                registers: [this.registry],
                collect() {
                    this.set(read()[field]);
                },
            });
        }
    }

    private registerLatencyGauge(): void {
        const { latencies } = this;
        new Gauge({
            name: "filbertspool_latency_seconds",
            help: "Latency percentiles since the start of the node",
            labelNames: ["phase", "percentile"],
            registers: [this.registry],
            collect() {
                for (const [phase, histogram] of latencies) {
                    for (const percentile of PERCENTILES) {
                        const value = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_S;
                        this.set({ phase, percentile: String(percentile) }, value);
                    }
                }
            },
        });
    }
}
