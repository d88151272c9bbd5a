/** The counters of a mesh node as Prometheus text. The library is loaded with the first scrape, not at the start. */
import type { MeshNode } from "./node.ts";

export const METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

export async function metricsPage(node: MeshNode): Promise<string> {
    const { Counter, Gauge, Registry } = await import("prom-client");
    const registry = new Registry();
    const addCounter = (name: string, help: string, label: string, values: ReadonlyMap<string, number>) => {
        const counter = new Counter({ name, help, labelNames: [label], registers: [registry] });
        for (const [key, value] of values) counter.inc({ [label]: key }, value);
    };
    const addGauge = (name: string, help: string, value: number) => {
        new Gauge({ name, help, registers: [registry] }).set(value);
    };
    const { counters, runner } = node;
    addCounter("filbertspool_requests_total", "Requests that began here", "route", counters.requests);
    addCounter("filbertspool_refused_total", "Requests refused, not run", "reason", counters.refusals);
    addCounter(
        "filbertspool_failed_total",
        "Requests ended with unknown outcome",
        "reason",
        counters.failures,
    );
    addCounter("filbertspool_repeated_total", "Sends to another target", "reason", counters.repeats);
    addCounter(
        "filbertspool_runs_refused_total",
        "Runs refused beside the target",
        "reason",
        counters.runRefusals,
    );
    const load = runner.load(node.configVersion);
    addGauge("filbertspool_running", "Requests at the target", load.running);
    addGauge("filbertspool_queued", "Requests waiting for a slot", load.queued);
    addGauge("filbertspool_slots_used_at_most", "Requests sent to the target at once", load.limit);
    addGauge("filbertspool_cutoff_level", "Level up to which requests are admitted", load.cutoff);
    addGauge(
        "filbertspool_service_seconds",
        "Smoothed time of a request at the target",
        load.serviceMs / 1000,
    );
    addGauge("filbertspool_config_version", "Version in force", load.configVersion);
    addGauge("filbertspool_nodes_known", "Nodes known, this one included", node.directory.size);
    return registry.metrics();
}
