const NS_PER_MS = 1e6;

/**
 * Monotonic time in ms. On Linux all processes of a machine share this clock,
 * so the records of several stand-in processes can be ordered by time.
 */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint()) / NS_PER_MS;
}
