/** The answer to a request for a permit to send one request. */
export type Permit =
  | { readonly kind: "granted"; readonly waitMs: number }
  | { readonly kind: "denied" };

/** A permit and the time that the next one has to wait. */
export interface Reservation {
  readonly permit: Permit;
  readonly nextWaitMs: number;
}

/**
 * Share of the limit that is handed out. The margin covers requests that are
 * sent without a permit, by daemons that do not know of the limit yet.
 */
const USED_SHARE = 0.95;
/** Requests that may go at once after a pause, in time of the limit. */
const BURST_MS = 250;
const MS_PER_S = 1_000;

/** Time between two requests at an even pace. */
export function usedPeriodMs(requestsPerSecond: number): number {
  return MS_PER_S / (requestsPerSecond * USED_SHARE);
}

/** The most requests that one limiter hands out for any one second. */
export function worstSecondOf(requestsPerSecond: number): number {
  return 1 + (MS_PER_S + BURST_MS) / usedPeriodMs(requestsPerSecond);
}

/**
 * Hands out the requests a second that a target takes from all daemons, by the
 * generic cell rate algorithm. A new limiter has no burst saved up, since
 * another one may have handed it out.
 */
export class RateLimiter {
  /** When the next request is due at an even pace. */
  #dueAtMs: number;
  #periodMs: number | undefined;

  constructor(nowMs: number) {
    this.#dueAtMs = nowMs + BURST_MS;
  }

  /**
   * Reserves one request, unless it has to wait longer than `maxWaitMs`. The
   * rate must be above zero.
   */
  reserve(
    requestsPerSecond: number,
    maxWaitMs: number,
    nowMs: number,
  ): Reservation {
    const periodMs = usedPeriodMs(requestsPerSecond);
    if (periodMs !== this.#periodMs) this.#changePeriod(periodMs, nowMs);
    const waitMs = this.#waitMs(nowMs);
    if (waitMs > maxWaitMs) {
      return { permit: { kind: "denied" }, nextWaitMs: waitMs };
    }
    this.#dueAtMs = Math.max(this.#dueAtMs, nowMs) + periodMs;
    return {
      permit: { kind: "granted", waitMs },
      nextWaitMs: this.#waitMs(nowMs),
    };
  }

  /** Hands out nothing before `untilMs`, and no burst afterwards. */
  delayUntil(untilMs: number): void {
    this.#dueAtMs = Math.max(this.#dueAtMs, untilMs + BURST_MS);
  }

  /** What is reserved already takes more or less time at another limit. */
  #changePeriod(periodMs: number, nowMs: number): void {
    const backlogMs = Math.max(0, this.#dueAtMs - nowMs);
    const factor = periodMs / (this.#periodMs ?? periodMs);
    this.#dueAtMs = nowMs + backlogMs * factor;
    this.#periodMs = periodMs;
  }

  #waitMs(nowMs: number): number {
    return Math.max(0, this.#dueAtMs - BURST_MS - nowMs);
  }
}
