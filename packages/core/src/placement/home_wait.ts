/** Longest wait for the first target of an order, in ms. */
const MAX_HOME_WAIT_MS = 800;
/** Wait per token that would have to be processed elsewhere, in ms. */
const WAIT_MS_PER_TOKEN = 0.16;

/**
 * How long a returning chat may wait for a place at its first target before it
 * goes to the next one. Processing its prefix elsewhere takes time as well, so
 * the wait grows with the prefix, up to 0.8 s, and with the weight that
 * the route gives to reuse.
 */
export function homeWaitMs(reuseWeight: number, prefixTokens: number): number {
  const fullWaitMs = Math.min(
    MAX_HOME_WAIT_MS,
    prefixTokens * WAIT_MS_PER_TOKEN,
  );
  return Math.round(reuseWeight * fullWaitMs);
}
