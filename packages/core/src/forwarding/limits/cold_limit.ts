import { TOTAL_SHARE } from "./limit_owners.ts";
import { worstSecondOf } from "./rate_limiter.ts";

/** The bound on the requests that a cold target gets in any one second. */
export interface ColdBound {
  /** Requests a second that the target accepts. */
  readonly requestsPerSecond: number;
  /** Multiple of these that is allowed over all daemons. */
  readonly overage: number;
  /** Requests that are allowed beyond the multiple. */
  readonly slack: number;
}

/** Limiters that may each hand out one request at once. */
const LIMITERS = 3;

/**
 * The fleet-wide limit of a cold target, with which owner, substitute and own
 * shares together keep within the bound. Undefined without a limit.
 */
export function coldLimit(
  { requestsPerSecond, overage, slack }: ColdBound,
): number | undefined {
  if (!(requestsPerSecond > 0)) return undefined;
  const bound = requestsPerSecond * overage + slack;
  const perLimit = worstSecondOf(TOTAL_SHARE) - worstSecondOf(0);
  const limit = (bound - LIMITERS * worstSecondOf(0)) / perLimit;
  return Math.max(0, Math.min(requestsPerSecond, limit));
}
