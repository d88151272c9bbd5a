/**
 * Renders the counters and latencies of a mesh node in the Prometheus text format. The libraries are loaded at the
 * first scrape, not at startup. The number of label values is bounded: route names come from the configuration, at most
 * 200 accounts are counted by name, and all other label values are fixed.
 */
import type { Histogram } from "hdr-histogram-js";
import type { Registry } from "prom-client";
import type { LatencyPhase } from "./latencySamples.ts";
import type { MeshNode } from "./node.ts";

export const METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

const PERCENTILES: readonly number[] = [50, 90, 99, 99.9];
const MS_PER_S = 1000;
const MICROSECONDS_PER_MS = 1000;
const MICROSECONDS_PER_S = 1_000_000;
/** Longer latencies are recorded with this value, five minutes. */
const HIGHEST_LATENCY_US = 300 * MICROSECONDS_PER_S;

export class MetricsPage {
    private readonly histograms = new Map<LatencyPhase, Histogram>();

    constructor(private readonly node: MeshNode) {}

    async render(): Promise<string> {
        const { Registry } = await import("prom-client");
        const registry = new Registry();
        await this.addCounters(registry);
        await this.addGauges(registry);
        await this.addLatencies(registry);
        return registry.metrics();
    }

    private async addCounters(registry: Registry): Promise<void> {
        const { Counter } = await import("prom-client");
        const { counters, latencies, memory } = this.node;
        const addLabelled = (
            name: string,
            help: string,
            label: string,
            values: ReadonlyMap<string, number>,
        ) => {
            const counter = new Counter({ name, help, labelNames: [label], registers: [registry] });
            for (const [key, value] of values) counter.inc({ [label]: key }, value);
        };
        addLabelled(
            "filbertspool_requests_total",
            "Requests that began here",
            "route",
            counters.requestsByRoute,
        );
        addLabelled(
            "filbertspool_refused_total",
            "Requests refused, not run",
            "reason",
            counters.refusalsByReason,
        );
        addLabelled(
            "filbertspool_failed_total",
            "Requests ended with unknown outcome",
            "reason",
            counters.failuresByReason,
        );
        addLabelled(
            "filbertspool_repeated_total",
            "Sends to another target",
            "reason",
            counters.retriesByReason,
        );
        addLabelled(
            "filbertspool_runs_refused_total",
            "Runs refused beside the target",
            "reason",
            counters.runRefusalsByReason,
        );
        const accountCounter = new Counter({
            name: "filbertspool_account_refusals_total",
            help: "Requests of client accounts refused, not run",
            labelNames: ["account", "reason"],
            registers: [registry],
        });
        for (const [account, refusals] of counters.accountRefusals) {
            for (const [reason, value] of refusals) accountCounter.inc({ account, reason }, value);
        }
        addLabelled(
            "filbertspool_quota_used_total",
            "Requests admitted by the quota of their account",
            "pool",
            counters.quotaUsesByPool,
        );
        const addTotal = (name: string, help: string, value: number) => {
            new Counter({ name, help, registers: [registry] }).inc(value);
        };
        addTotal("filbertspool_client_requests_total", "Requests of clients", counters.clientRequests);
        addTotal("filbertspool_client_refused_total", "Requests of clients refused", counters.clientRefusals);
        addTotal("filbertspool_client_served_total", "Answers below 500 to clients", counters.clientServed);
        addTotal(
            "filbertspool_unauthorized_total",
            "Requests without a valid key, answered with 401",
            counters.unauthorizedRequests,
        );
        addTotal("filbertspool_quota_refused_total", "Requests above their quota", counters.quotaRefusals);
        addTotal(
            "filbertspool_quota_reports_sent_total",
            "Quota reports to other nodes",
            counters.quotaReportsSent,
        );
        addTotal(
            "filbertspool_quota_reports_received_total",
            "Quota reports of other nodes",
            counters.quotaReportsReceived,
        );
        addTotal("filbertspool_runs_started_total", "Requests sent to the target", counters.runsStarted);
        addTotal(
            "filbertspool_runs_waited_seconds_total",
            "Time that runs waited for a slot",
            counters.runsWaitedMs / MS_PER_S,
        );
        addTotal(
            "filbertspool_slot_seconds_total",
            "Time that runs used a slot",
            counters.slotMs / MS_PER_S,
        );
        addTotal(
            "filbertspool_memory_refusals_total",
            "Requests refused and responses given up for lack of memory",
            memory.refusals,
        );
        addTotal(
            "filbertspool_connections_closed_total",
            "Connections closed because of unread responses or of their number",
            memory.closedConnections,
        );
        addTotal(
            "filbertspool_latency_samples_lost_total",
            "Latencies that no scrape came for in time",
            latencies.lost,
        );
    }

    private async addGauges(registry: Registry): Promise<void> {
        const { Gauge } = await import("prom-client");
        const { node } = this;
        const addGauge = (name: string, help: string, value: number) => {
            new Gauge({ name, help, registers: [registry] }).set(value);
        };
        const load = node.runner.loadReport(node.configVersion);
        addGauge("filbertspool_running", "Requests at the target", load.running);
        addGauge("filbertspool_queued", "Requests waiting for a slot", load.queued);
        addGauge("filbertspool_slots_used_at_most", "Requests sent to the target at once", load.limit);
        addGauge("filbertspool_cutoff_level", "Level up to which requests are admitted", load.cutoff);
        addGauge(
            "filbertspool_service_seconds",
            "Smoothed time of a request at the target",
            load.serviceMs / 1000,
        );
        const { capacity } = node.runner;
        if (capacity !== undefined) {
            addGauge("filbertspool_learned_limit", "Learned concurrency limit", capacity.limit);
            addGauge(
                "filbertspool_relative_speed",
                "Speed of the target relative to the last minute's baseline",
                capacity.relativeSpeed,
            );
        }
        addGauge("filbertspool_config_version", "Version in force", load.configVersion);
        if (node.storeEra !== undefined) {
            addGauge("filbertspool_store_era", "Era of the store", node.storeEra);
        }
        addGauge(
            "filbertspool_memory_large_bytes",
            "Bytes of bodies and responses above 64 KiB",
            node.memory.largeBytes,
        );
        addGauge("filbertspool_memory_small_bytes", "Bytes of smaller ones", node.memory.smallBytes);
        addGauge("filbertspool_nodes_known", "Nodes known, this one included", node.directory.size);
        const labelNames = ["pool"];
        const delegatedGauge = new Gauge({
            name: "filbertspool_quota_share_delegated",
            help: "Part of all nodes' shares that is delegated to this node",
            labelNames,
            registers: [registry],
        });
        const heldGauge = new Gauge({
            name: "filbertspool_quota_tokens_held",
            help: "Tokens held for requests of own clients",
            labelNames,
            registers: [registry],
        });
        for (const { pool, delegatedShare, tokensHeld } of node.quotas.poolStatuses()) {
            delegatedGauge.set({ pool }, delegatedShare);
            heldGauge.set({ pool }, tokensHeld);
        }
    }

    private async addLatencies(registry: Registry): Promise<void> {
        const { Counter, Gauge } = await import("prom-client");
        await this.updateHistograms();
        const latencyGauge = new Gauge({
            name: "filbertspool_latency_seconds",
            help:
                "Latency since the start by phase: answered and refused at the entry, queue and target beside it",
            labelNames: ["phase", "quantile"],
            registers: [registry],
        });
        const sampleCounter = new Counter({
            name: "filbertspool_latency_samples_total",
            help: "Latencies in the quantiles",
            labelNames: ["phase"],
            registers: [registry],
        });
        for (const [phase, histogram] of this.histograms) {
            sampleCounter.inc({ phase }, histogram.totalCount);
            for (const percentile of PERCENTILES) {
                const value = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_S;
                latencyGauge.set({ phase, quantile: `${percentile / 100}` }, value);
            }
        }
    }

    /** Adds the samples since the last scrape to the histograms. */
    private async updateHistograms(): Promise<void> {
        const { build } = await import("hdr-histogram-js");
        for (const [phase, samples] of this.node.latencies.drain()) {
            let histogram = this.histograms.get(phase);
            if (histogram === undefined) {
                histogram = build({
                    lowestDiscernibleValue: 1,
                    highestTrackableValue: HIGHEST_LATENCY_US,
                    numberOfSignificantValueDigits: 2,
                });
                this.histograms.set(phase, histogram);
            }
            for (const ms of samples) {
                histogram.recordValue(Math.min(HIGHEST_LATENCY_US, Math.round(ms * MICROSECONDS_PER_MS)));
            }
        }
    }
}
