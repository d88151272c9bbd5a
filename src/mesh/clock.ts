/** The steady clock of the data plane, in ms. It does not follow changes of the time of day. */
export const steadyNow = (): number => performance.now();
