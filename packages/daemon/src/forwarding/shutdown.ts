import type { TimerService } from "@coltsfootford/core";
import type { ConnectionDrain } from "../shutdown/index.ts";

/** The balancer takes a daemon out after two looks, a second apart. */
const MIN_DRAIN_MS = 3_000;
/** Time kept at the end for the process to exit by itself. */
const EXIT_MARGIN_MS = 400;
const CHECK_PERIOD_MS = 100;

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
      const hasTurnedAway = tookMs >= MIN_DRAIN_MS;
      const isIdle = hasTurnedAway && runningCount() === 0;
      const isLate = tookMs >= shutdownLimitMs - EXIT_MARGIN_MS;
      if (!isIdle && !isLate) return;
      cancel();
      drain.stopAccepting();
      resolve(runningCount());
    });
  });
}
