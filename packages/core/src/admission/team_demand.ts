/** Time constant of the rate by which the beginning of a surge is seen. */
const BEGIN_RATE_MS = 2_000;
/** Time constant of the rate by which its end is seen. */
const END_RATE_MS = 10_000;
/** A surge begins when the demand exceeds the share by this factor ... */
const SURGE_BEGIN_FACTOR = 2;
/** ... and by this many places, since a small share varies more. */
const SURGE_BEGIN_PLACES = 1;
/** It ends when the slower mean is below this multiple of the share. */
const SURGE_END_FACTOR = 1.2;
/** Weight of the newest request in the mean service time. */
const SERVICE_TIME_WEIGHT = 0.05;

/**
 * Tells a surge of a team from the ordinary ups and downs of its load.
 *
 * The demand is the rate of arrivals times the mean service time, so the mean
 * number of places that the team would fill. Its backlog says nothing, since
 * the backlog of a calm team grows too where the pool is short of places.
 */
export class TeamDemand {
  #quickRatePerMs = 0;
  #slowRatePerMs = 0;
  #arrivedMs: number | undefined;
  #meanServiceMs = 0;
  #isSurging = false;

  get isSurging(): boolean {
    return this.#isSurging;
  }

  /** Counts a request; `share` is the team's part of the places. */
  noteArrival(share: number, nowMs: number): void {
    const elapsedMs = nowMs - (this.#arrivedMs ?? nowMs);
    this.#arrivedMs = nowMs;
    this.#quickRatePerMs = this.#quickRatePerMs *
        Math.exp(-elapsedMs / BEGIN_RATE_MS) + 1 / BEGIN_RATE_MS;
    this.#slowRatePerMs = this.#slowRatePerMs *
        Math.exp(-elapsedMs / END_RATE_MS) + 1 / END_RATE_MS;
    const quick = this.#quickRatePerMs * this.#meanServiceMs;
    const slow = this.#slowRatePerMs * this.#meanServiceMs;
    this.#isSurging = this.#isSurging
      ? slow >= share * SURGE_END_FACTOR
      : quick > share * SURGE_BEGIN_FACTOR + SURGE_BEGIN_PLACES;
  }

  /** Takes the service time of a request that has ended into the mean. */
  noteServiceTime(serviceMs: number): void {
    if (this.#meanServiceMs === 0) this.#meanServiceMs = serviceMs;
    this.#meanServiceMs += SERVICE_TIME_WEIGHT *
      (serviceMs - this.#meanServiceMs);
  }
}
