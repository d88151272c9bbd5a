/**
 * Monotonic clock of the data plane, in ms, unaffected by changes of the system time. Its value is cached for one turn
 * of the event loop, since each request needs the time about a dozen times.
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
