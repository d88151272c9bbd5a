/**
 * The steady clock of the data plane, in ms. It does not follow changes of the time of day. The time is read once in
 * a turn of the event loop: a request asks for it a dozen times.
 */
let turnNow: number | undefined;

export function steadyNow(): number {
    if (turnNow === undefined) {
        turnNow = performance.now();
        setImmediate(endTurn);
    }
    return turnNow;
}

function endTurn(): void {
    turnNow = undefined;
}
