/** Processor time and resident memory of a process, read from the kernel's process file system. */
import { readFileSync } from "node:fs";

/** The kernel reports processor time in ticks of 10 ms on all usual builds. */
const TICK_MS = 10;
const UTIME_FIELD = 11;
const STIME_FIELD = 12;
const KB_PER_MB = 1_024;

export function cpuMs(pid: number): number {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD])) * TICK_MS;
}

export function rssMb(pid: number): number {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / KB_PER_MB;
}

export function median(values: readonly number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}
