import { type Reservation, usedPeriodMs } from "./rate_limiter.ts";

/** A turn closer to the last one than this share of the period is skipped. */
const MIN_TURN_GAP = 0.5;

/**
 * Hands out one request for each turn of a fixed beat. A turn that was not used
 * is lost. Where each of many daemons has a small share of a limit, requests
 * that they might save up would all be sent at the moment at which they lose
 * the owner.
 */
export class EvenTurns {
  /** Position of the turns in a period, from 0 to 1. */
  readonly #phase: number;
  #lastTurnMs = -Infinity;

  constructor(phase: number) {
    this.#phase = phase;
  }

  /** Reserves a turn, unless it is later than `maxWaitMs`. */
  reserve(
    requestsPerSecond: number,
    maxWaitMs: number,
    nowMs: number,
  ): Reservation {
    const periodMs = usedPeriodMs(requestsPerSecond);
    const turnMs = this.#nextTurnMs(periodMs, nowMs);
    const waitMs = turnMs - nowMs;
    if (waitMs > maxWaitMs) {
      return { permit: { kind: "denied" }, nextWaitMs: waitMs };
    }
    this.#lastTurnMs = turnMs;
    const nextWaitMs = this.#nextTurnMs(periodMs, nowMs) - nowMs;
    return { permit: { kind: "granted", waitMs }, nextWaitMs };
  }

  /** Hands out no turn before `untilMs`. */
  delayUntil(untilMs: number): void {
    this.#lastTurnMs = Math.max(this.#lastTurnMs, untilMs);
  }

  #nextTurnMs(periodMs: number, nowMs: number): number {
    const earliestMs = Math.max(
      nowMs,
      this.#lastTurnMs + periodMs * MIN_TURN_GAP,
    );
    const turns = Math.ceil(earliestMs / periodMs - this.#phase);
    return Math.max(nowMs, (turns + this.#phase) * periodMs);
  }
}
