/**
 * Load of one request. The load of a target is the number of its unfinished
 * requests, both running and queued.
 */
export const REQUEST_LOAD = 1;

/**
 * Returns the bounded-load limit of a target: the highest load that the target
 * may have after an admission. `poolLoadRequests` is the pool's load before the
 * admission. The mean includes the new request.
 */
export function maxLoadRequests(
  factor: number,
  poolLoadRequests: number,
  poolTargets: number,
): number {
  if (poolTargets <= 0) return 0;
  const meanRequests = (poolLoadRequests + REQUEST_LOAD) / poolTargets;
  return Math.ceil(factor * meanRequests);
}
