/**
 * Prints the figures of all overload cases for the product and two systems to compare it with: `npm run measure --
 * [--json FILE] [--seeds N] [--baseline-seeds N] [--case TEXT] [--setting TEXT] [--system TEXT]`. The simulation runs in
 * virtual time, so the same seeds give the same figures.
 */
import { fork } from "node:child_process";
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { cases } from "./cases.ts";
import type { Figures } from "./figures.ts";
import { measure } from "./figures.ts";
import { settings } from "./settings.ts";
import type { System } from "./simulation.ts";
import { systems } from "./simulation.ts";

interface Job {
    readonly index: number;
    readonly setting: string;
    readonly case: string;
    readonly system: System;
    readonly seed: number;
}

interface Result extends Job {
    readonly figures: Figures;
}

const WORKERS = 6;

function runJob(job: Job): Result {
    const setting = settings.find(({ name }) => name === job.setting)!;
    const testCase = cases.find(({ name }) => name === job.case)!;
    return { ...job, figures: measure(setting, testCase, job.system, job.seed) };
}

async function runAll(jobs: readonly Job[]): Promise<readonly Result[]> {
    const results: Result[] = [];
    let next = 0;
    await Promise.all(Array.from({ length: WORKERS }, () =>
        new Promise<void>((resolve, reject) => {
            const worker = fork(fileURLToPath(import.meta.url), ["--worker"], { serialization: "advanced" });
            const sendNext = () => {
                const job = jobs[next++];
                if (job === undefined) {
                    worker.disconnect();
                    resolve();
                }
                else worker.send(job);
            };
            worker.on("message", (result: Result) => {
                results[result.index] = result;
                sendNext();
            });
            worker.on("error", reject);
            sendNext();
        })));
    return results;
}

function createJobs(): readonly Job[] {
    const jobs: Omit<Job, "index">[] = [];
    for (const setting of settings.filter(({ name }) => name.includes(args.setting))) {
        for (const { name } of cases.filter(found => found.name.includes(args.case))) {
            for (const system of systems.filter(found => found.includes(args.system))) {
                const seeds = Number(system === "filbertspool" ? args.seeds : args["baseline-seeds"]);
                for (let seed = 1; seed <= seeds; seed++) {
                    jobs.push({ setting: setting.name, case: name, system, seed });
                }
            }
        }
    }
    if (jobs.length === 0) {
        const joinNames = (all: readonly { readonly name: string; }[]) =>
            all.map(({ name }) => name).join(", ");
        console.error(
            `no simulation matches: --setting must be part of one of ${joinNames(settings)}; --system of ${
                systems.join(", ")
            }; `
                + `--case of ${joinNames(cases)}; --seeds and --baseline-seeds must be at least 1`,
        );
        process.exit(1);
    }
    // Simulations without overload control take the longest, so they start first.
    return jobs.map((job, index) => ({ ...job, index })).sort((a, b) =>
        Number(b.system === "no-control") - Number(a.system === "no-control")
    );
}

function groupByCaseAndSystem(results: readonly Result[]): readonly (readonly Result[])[] {
    const groups = new Map<string, Result[]>();
    for (const result of results) {
        const name = `${result.case}/${result.system}`;
        groups.set(name, [...groups.get(name) ?? [], result]);
    }
    return [...groups.values()];
}

function formatPercentRange(values: readonly number[]): string {
    const [low, high] = [Math.min(...values), Math.max(...values)].map(value => (value * 100).toFixed(1));
    return low === high ? `${low}` : `${low}..${high}`;
}

function formatSecondsRange(values: readonly number[]): string {
    const [low, high] = [Math.min(...values), Math.max(...values)].map(value =>
        value === Infinity ? "none" : (value / 1_000).toFixed(2)
    );
    return low === high ? `${low}` : `${low}..${high}`;
}

function toRow(group: readonly Result[]): Record<string, string> {
    const all = group.map(({ figures }) => figures);
    const kinds = Object.keys(all[0]!.goodput);
    const refusals = new Map<string, number>();
    for (const figures of all) {
        for (const [reason, count] of Object.entries(figures.refusals)) {
            refusals.set(reason, (refusals.get(reason) ?? 0) + count / all.length);
        }
    }
    return {
        case: group[0]!.case,
        system: group[0]!.system,
        "weighted %": formatPercentRange(all.map(({ weighted }) => weighted)),
        "vital %": formatPercentRange(all.map(({ vital }) => vital)),
        "goodput %": kinds.map(kind =>
            `${kind} ${(100 * all.reduce((a, f) => a + f.goodput[kind]!, 0) / all.length).toFixed(0)}`
        ).join(" "),
        "wasted %": formatPercentRange(all.map(({ wasted }) => wasted)),
        attempts: (all.reduce((a, f) => a + f.attemptsMean, 0) / all.length).toFixed(2),
        "extra-A": String(Math.max(...all.map(({ extraOverAllowance }) => extraOverAllowance))),
        "recovery s": formatSecondsRange(all.map(({ recoveryMs }) => recoveryMs)),
        refusals: [...refusals].map(([reason, count]) => `${reason} ${count.toFixed(0)}`).join(" "),
    };
}

function printTable(rows: readonly Record<string, string>[]): void {
    const columns = Object.keys(rows[0]!);
    const widths = columns.map(column => Math.max(column.length, ...rows.map(row => row[column]!.length)));
    const formatRow = (cells: readonly string[]) =>
        cells.map((cell, i) => cell.padEnd(widths[i]!)).join("  ").trimEnd();
    process.stdout.write(`${formatRow(columns)}\n`);
    for (const row of rows) process.stdout.write(`${formatRow(columns.map(column => row[column]!))}\n`);
}

const { values: args } = parseArgs({
    options: {
        worker: { type: "boolean", default: false },
        json: { type: "string" },
        seeds: { type: "string", default: "3" },
        "baseline-seeds": { type: "string", default: "1" },
        case: { type: "string", default: "" },
        setting: { type: "string", default: "" },
        system: { type: "string", default: "" },
    },
});

if (!args.worker) {
    const results = await runAll(createJobs());
    if (args.json !== undefined) writeFileSync(args.json, `${JSON.stringify(results, undefined, 2)}\n`);
    for (const { name } of settings) {
        const settingResults = results.filter(({ setting }) => setting === name);
        if (settingResults.length === 0) continue;
        process.stdout.write(`\n${name}\n`);
        printTable(groupByCaseAndSystem(settingResults).map(toRow));
    }
}
else {
    process.on("message", (job: Job) => process.send!(runJob(job)));
}
