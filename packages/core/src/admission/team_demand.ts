/** Time constant of the arrival rate that detects the start of a surge. */
const FAST_TIME_CONSTANT_MS = 2_000;
/** Time constant of the arrival rate that detects the end of a surge. */
const SLOW_TIME_CONSTANT_MS = 10_000;
/**
 * A surge begins when the demand exceeds this multiple of the share plus
 * `SURGE_BEGIN_REQUESTS`.
 */
const SURGE_BEGIN_FACTOR = 2;
/**
 * Requests added to the limit at which a surge begins, because the demand on a
 * small share varies more.
 */
const SURGE_BEGIN_REQUESTS = 1;
/** A surge ends when the slow demand is below this multiple of the share. */
const SURGE_END_FACTOR = 1.2;
/** Weight of the newest request in the moving average of the service time. */
const SERVICE_TIME_WEIGHT = 0.05;

/**
 * Distinguishes a surge of a team from normal variation of the load.
 *
 * The demand is the arrival rate times the mean service time, which is the mean
 * number of requests that the team would have running. The backlog is no
 * indicator, because the backlog of a team without a surge also grows when the
 * pool is short of capacity.
 */
export class TeamDemand {
  #fastRatePerMs = 0;
  #slowRatePerMs = 0;
  #lastArrivalMs: number | undefined;
  #meanServiceMs = 0;
  #isSurging = false;

  get isSurging(): boolean {
    return this.#isSurging;
  }

  /**
   * Records an arriving request; `share` is the team's part of the capacity.
   */
  recordArrival(share: number, nowMs: number): void {
    const elapsedMs = nowMs - (this.#lastArrivalMs ?? nowMs);
    this.#lastArrivalMs = nowMs;
    this.#fastRatePerMs = this.#fastRatePerMs *
        Math.exp(-elapsedMs / FAST_TIME_CONSTANT_MS) +
      1 / FAST_TIME_CONSTANT_MS;
    this.#slowRatePerMs = this.#slowRatePerMs *
        Math.exp(-elapsedMs / SLOW_TIME_CONSTANT_MS) +
      1 / SLOW_TIME_CONSTANT_MS;
    const fastDemand = this.#fastRatePerMs * this.#meanServiceMs;
    const slowDemand = this.#slowRatePerMs * this.#meanServiceMs;
    this.#isSurging = this.#isSurging
      ? slowDemand >= share * SURGE_END_FACTOR
      : fastDemand > share * SURGE_BEGIN_FACTOR + SURGE_BEGIN_REQUESTS;
  }

  /** Adds the service time of a finished request to the moving average. */
  recordServiceTime(serviceMs: number): void {
    if (this.#meanServiceMs === 0) this.#meanServiceMs = serviceMs;
    this.#meanServiceMs += SERVICE_TIME_WEIGHT *
      (serviceMs - this.#meanServiceMs);
  }
}
