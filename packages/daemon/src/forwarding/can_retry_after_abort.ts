import { canExecuteTwice } from "@coltsfootford/core";
import type {
  AcceptedRequest,
  ForwarderDependencies,
} from "./forwarding_types.ts";

/** Whether a request can be sent to another target once its attempt is aborted. */
export function canRetryAfterAbort(
  { route, service, body }: AcceptedRequest,
  { retryShares, pool, timer }: ForwarderDependencies,
  attemptsSent: number,
  attemptedIncarnations: ReadonlySet<string>,
): boolean {
  if (body.held.isEvicted || !canExecuteTwice(route)) return false;
  if (attemptsSent + 1 >= route.maxTargets) return false;
  if (retryShares.budgetOf(service).savedRetries < 1) return false;
  return pool.ofService(service).some(({ target, record }) =>
    !attemptedIncarnations.has(target.incarnation) &&
    record.isTaking(timer.nowMs())
  );
}
