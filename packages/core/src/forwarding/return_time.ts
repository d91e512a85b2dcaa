/** Part of the time left that a client is ready to wait, by the protocol. */
const HONOURED_SHARE = 1 / 3;
/** Longest wait that is asked for; most troubles are over in a second or so. */
const MAX_RETURN_MS = 1_000;
/** Least wait, so that a refused client doesn't come back at once. */
const MIN_RETURN_MS = 50;

/**
 * When a refused client should come back: later than now, early enough that it
 * still can, and spread, so that clients refused together don't return so.
 */
export function returnAfterMs(timeLeftMs: number, random: number): number {
  const longestMs = Math.min(MAX_RETURN_MS, timeLeftMs * HONOURED_SHARE);
  const spreadMs = longestMs * (0.5 + 0.5 * random);
  return Math.max(MIN_RETURN_MS, spreadMs);
}
