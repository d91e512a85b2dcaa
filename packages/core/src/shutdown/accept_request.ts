/**
 * Time after the signal to shut down in which requests are accepted as before:
 * the load balancer removes a daemon after two failed readiness probes, a second
 * apart.
 */
export const ACCEPT_PERIOD_MS = 3_000;
/** Time reserved at the end for the process to exit by itself. */
export const EXIT_MARGIN_MS = 400;

/** Whether a request that arrives while a daemon shuts down can be completed. */
export function isAcceptedWhileDraining(
  sinceSignalMs: number,
  maxDurationMs: number,
  shutdownLimitMs: number,
): boolean {
  if (sinceSignalMs < ACCEPT_PERIOD_MS) return true;
  return sinceSignalMs + maxDurationMs < shutdownLimitMs - EXIT_MARGIN_MS;
}
