/** Reads the CPU time and resident memory of a process from /proc. */
import { readdirSync, readFileSync } from "node:fs";

const KIB_PER_MIB = 1_024;
const NS_PER_MS = 1_000_000;

/**
 * CPU time of all threads in ms. It comes from the scheduler's count in nanoseconds, because the clock ticks of 10 ms
 * in /proc miss or overstate short bursts of work.
 */
export function cpuMs(pid: number): number {
    return readdirSync(`/proc/${pid}/task`).reduce((sum, task) => {
        const runtimeNs = readFileSync(`/proc/${pid}/task/${task}/schedstat`, "utf8").split(" ")[0];
        return sum + Number(runtimeNs) / NS_PER_MS;
    }, 0);
}

export function rssMib(pid: number): number {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / KIB_PER_MIB;
}

export function median(values: readonly number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}
