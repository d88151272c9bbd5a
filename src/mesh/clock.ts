/**
 * The steady clock of the data plane, in ms. It does not follow changes of the time of day. The time is read once in
 * a turn of the event loop: a request asks for it a dozen times.
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
