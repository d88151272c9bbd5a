/**
 * Monotonic clock of the data plane, in ms, unaffected by changes of the system time. The clock is read once
 * per turn of the event loop, since each request asks for the time about a dozen times.
 */
let cachedNow: number | undefined;

export function steadyNow(): number {
    if (cachedNow === undefined) {
        cachedNow = performance.now();
        setImmediate(clearCachedNow);
    }
    return cachedNow;
}

function clearCachedNow(): void {
    cachedNow = undefined;
}
