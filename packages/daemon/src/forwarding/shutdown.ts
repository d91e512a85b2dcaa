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
  /** The number of requests that have no final response yet. */
  readonly inFlightCount: () => number;
  /** Ends these requests, and each later one; returns how many were ended. */
  readonly abortInFlight: () => number;
}

/**
 * Keeps serving until the load balancer has removed the daemon and the last
 * request has its response, or the limit is reached. Every response carries
 * `Connection: close`.
 * Returns the number of requests that were aborted.
 */
export function shutDownGracefully(
  { connections, timer, shutdownLimitMs, inFlightCount, abortInFlight }:
    ForwardingShutdown,
): Promise<number> {
  const startedAtMs = timer.nowMs();
  connections.startClosing();
  return new Promise((resolve) => {
    const cancel = timer.every(CHECK_PERIOD_MS, () => {
      const elapsedMs = timer.nowMs() - startedAtMs;
      const hasAcceptPeriodEnded = elapsedMs >= ACCEPT_PERIOD_MS;
      const isIdle = hasAcceptPeriodEnded && inFlightCount() === 0;
      const isLate = elapsedMs >= shutdownLimitMs - EXIT_MARGIN_MS;
      if (!isIdle && !isLate) return;
      cancel();
      connections.stopAccepting();
      // In the same tick as the check: no request is accepted in between.
      const abortedRequests = abortInFlight();
      void connections.closeAll().then(() => resolve(abortedRequests));
    });
  });
}
