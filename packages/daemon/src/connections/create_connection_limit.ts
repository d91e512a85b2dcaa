import type { TimerService } from "@coltsfootford/core";
import type { Logger } from "../log/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { ConnectionLimitOptions } from "./client_connections.ts";

/** At most one log event in this time, since a crowd may be closed at once. */
const LOG_PERIOD_MS = 1_000;

/** What the limit of open connections depends on. */
export interface ConnectionLimitDependencies {
  /** Undefined for no limit. */
  readonly maxConnections: number | undefined;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/**
 * The limit of the open connections of a port. The connections closed for it
 * are counted, and their number is logged once a period.
 */
export function createConnectionLimit(
  { maxConnections, timer, log, metrics }: ConnectionLimitDependencies,
): ConnectionLimitOptions {
  let closedInPeriod = 0;
  const logClosed = () => {
    log.event("connectionLimitReached", { closed: closedInPeriod });
    closedInPeriod = 0;
  };
  return {
    maxConnections,
    onLimitClosed: () => {
      metrics.count("connection_limit_closed_total");
      closedInPeriod += 1;
      if (closedInPeriod === 1) timer.after(LOG_PERIOD_MS, logClosed);
    },
  };
}
