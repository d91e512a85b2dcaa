import type { TimerService } from "@coltsfootford/core";
import type { ConnectionDrain } from "../shutdown/index.ts";

/**
 * Time after SIGTERM in which requests are taken as always: the balancer takes
 * a daemon out after two looks, a second apart.
 */
export const TAKE_IN_MS = 3_000;
/** Time kept at the end for the process to exit by itself. */
const EXIT_MARGIN_MS = 400;
const CHECK_PERIOD_MS = 100;

/** Tells whether a request that comes while the daemon ends can be finished. */
export function isTakenWhileEnding(
  sinceSignalMs: number,
  longestMs: number,
  shutdownLimitMs: number,
): boolean {
  if (sinceSignalMs < TAKE_IN_MS) return true;
  return sinceSignalMs + longestMs < shutdownLimitMs - EXIT_MARGIN_MS;
}

/** What the end of a daemon needs. */
export interface ForwardingShutdown {
  readonly drain: ConnectionDrain;
  readonly timer: TimerService;
  readonly shutdownLimitMs: number;
  /** Requests that have no final answer yet. */
  readonly runningCount: () => number;
}

/**
 * Serves on until the balancer has turned away and the last request has its
 * answer, or the limit is reached. Answers ask their clients to close.
 * Returns the number of requests that were cut.
 */
export function shutDownGracefully(
  { drain, timer, shutdownLimitMs, runningCount }: ForwardingShutdown,
): Promise<number> {
  const startedAtMs = timer.nowMs();
  drain.startClosing();
  return new Promise((resolve) => {
    const cancel = timer.every(CHECK_PERIOD_MS, () => {
      const tookMs = timer.nowMs() - startedAtMs;
      const hasTurnedAway = tookMs >= TAKE_IN_MS;
      const isIdle = hasTurnedAway && runningCount() === 0;
      const isLate = tookMs >= shutdownLimitMs - EXIT_MARGIN_MS;
      if (!isIdle && !isLate) return;
      cancel();
      const cutRequests = runningCount();
      drain.stopAccepting();
      // In the same turn as the look, so that no request is taken in between.
      drain.closeAll();
      resolve(cutRequests);
    });
  });
}
