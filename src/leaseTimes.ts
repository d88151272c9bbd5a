/** Durations of leases. Without imports, so that modules with circular imports can use them at load time. */

/** A lease lasts this long from the moment when the request that renewed it was sent. */
export const LEASE_DURATION_MS = 6_000;
/**
 * Every lease of a former owner has expired this long after a view change was read: the duration of a lease
 * and 1 s for clock rates that differ by less than 10 %.
 */
export const LEASE_EXPIRY_WAIT_MS = LEASE_DURATION_MS + 1_000;
