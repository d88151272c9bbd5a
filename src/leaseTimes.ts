/** Times of the lease scheme; in a module without imports, since modules that import each other use them at load. */

/** A proof is good for this long after its question was sent. */
export const LEASE_DURATION_MS = 6_000;
/** A former owner's last proof has lapsed after this time: L and 1 s for clocks that differ by under 10 %. */
export const LEASE_EXPIRY_WAIT_MS = LEASE_DURATION_MS + 1_000;
