/** Longest wait for the preferred target, in ms. */
const MAX_AFFINITY_WAIT_MS = 800;
/** Wait per token that another target would have to process again, in ms. */
const WAIT_MS_PER_TOKEN = 0.16;

/**
 * Time that a returning chat may wait for capacity at its preferred target
 * before it spills to the next one. Another target would have to process the
 * prefix again, so the wait grows with the prefix, up to 0.8 s. The route's
 * reuse weight scales the wait.
 */
export function affinityWaitMs(
  reuseWeight: number,
  prefixTokens: number,
): number {
  const maxWaitMs = Math.min(
    MAX_AFFINITY_WAIT_MS,
    prefixTokens * WAIT_MS_PER_TOKEN,
  );
  return Math.round(reuseWeight * maxWaitMs);
}
