import type { TimerService } from "@coltsfootford/core";
import type { EventName } from "./events.ts";
import type { EventFields, Logger } from "./logger.ts";

const PERIOD_MS = 1_000;

/**
 * Passes on a limited number of events per second, and reports the number of
 * those that it dropped as `linesDropped`.
 */
export class LimitedLogger implements Logger {
  readonly #logger: Logger;
  readonly #timer: TimerService;
  readonly #maxEventsPerPeriod: number;
  #events = 0;
  #dropped: Partial<Record<EventName, number>> = {};

  constructor(
    logger: Logger,
    timer: TimerService,
    maxEventsPerPeriod: number,
  ) {
    this.#logger = logger;
    this.#timer = timer;
    this.#maxEventsPerPeriod = maxEventsPerPeriod;
  }

  event(name: EventName, fields: EventFields = {}): void {
    if (this.#events === 0) {
      this.#timer.after(PERIOD_MS, () => this.#endPeriod());
    }
    this.#events += 1;
    if (this.#events <= this.#maxEventsPerPeriod) {
      return this.#logger.event(name, fields);
    }
    this.#dropped[name] = (this.#dropped[name] ?? 0) + 1;
  }

  #endPeriod(): void {
    const hasDropped = this.#events > this.#maxEventsPerPeriod;
    this.#events = 0;
    if (!hasDropped) return;
    this.#logger.event("linesDropped", { dropped: this.#dropped });
    this.#dropped = {};
  }
}
