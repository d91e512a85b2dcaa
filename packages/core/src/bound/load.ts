/**
 * What load is. The load of a target is the number of requests that it has
 * taken and not ended, waiting ones included, each counted as this.
 */
export const REQUEST_LOAD = 1;

/**
 * The stated bound: the most load that a target may have at an admission, the
 * new request included, where the other arguments describe its pool at that
 * moment and the mean includes the new request as well.
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
