import {
  ACCEPT_PERIOD_MS,
  EXIT_MARGIN_MS,
  type TimerService,
} from "@coltsfootford/core";
import type { ClientConnections } from "../connections/index.ts";

const CHECK_PERIOD_MS = 100;

/** Inputs of a graceful shutdown. */
export interface ForwardingShutdown {
  readonly connections: ClientConnections;
  readonly timer: TimerService;
  readonly shutdownLimitMs: number;
  /** Ends the requests without a final response, and each later one. */
  readonly abortInFlight: () => void;
}

/**
 * Keeps serving until the load balancer has removed the daemon and the last
 * response has been delivered, or the limit is reached. Every response carries
 * `Connection: close`.
 * Returns the number of requests that were aborted.
 */
export function shutDownGracefully(
  { connections, timer, shutdownLimitMs, abortInFlight }: ForwardingShutdown,
): Promise<number> {
  const startedAtMs = timer.nowMs();
  connections.startClosing();
  return new Promise((resolve) => {
    const cancel = timer.every(CHECK_PERIOD_MS, () => {
      const elapsedMs = timer.nowMs() - startedAtMs;
      const hasAcceptPeriodEnded = elapsedMs >= ACCEPT_PERIOD_MS;
      const isIdle = hasAcceptPeriodEnded && connections.pendingCount === 0;
      const isLate = elapsedMs >= shutdownLimitMs - EXIT_MARGIN_MS;
      if (!isIdle && !isLate) return;
      cancel();
      connections.stopAccepting();
      // In the same tick as the check: no request is accepted in between.
      const abortedRequests = connections.pendingCount;
      abortInFlight();
      void connections.closeAll().then(() => resolve(abortedRequests));
    });
  });
}
