/** Limits of the retries of one route. */
export interface RetryBudgetSettings {
  /** Retries earned by each first try, for example 0.1. */
  readonly ratio: number;
  /** Most retries that can be saved up in calm times. */
  readonly maxSaved: number;
}

/** Retries that a route may have saved up, small against a second's load. */
export const DEFAULT_MAX_SAVED_RETRIES = 10;

/**
 * A token bucket that is filled by first tries and emptied by retries, so that
 * over any stretch of time: tries <= first tries * (1 + ratio) + maxSaved. It
 * needs no clock, since the load itself fills it.
 */
export class RetryBudget {
  #settings: RetryBudgetSettings;
  #savedRetries = 0;

  constructor(settings: RetryBudgetSettings) {
    this.#settings = settings;
    // One retry is there at the start, for a route with little traffic.
    this.#savedRetries = Math.min(1, settings.maxSaved);
  }

  get savedRetries(): number {
    return this.#savedRetries;
  }

  /** Takes new limits; what was saved beyond them is lost. */
  resize(settings: RetryBudgetSettings): void {
    this.#settings = settings;
    this.#savedRetries = Math.min(this.#savedRetries, settings.maxSaved);
  }

  /** Counts a first try. */
  recordFirstAttempt(): void {
    const { ratio, maxSaved } = this.#settings;
    this.#savedRetries = Math.min(maxSaved, this.#savedRetries + ratio);
  }

  /** Takes one retry out, or returns false. */
  tryTake(): boolean {
    if (this.#savedRetries < 1) return false;
    this.#savedRetries -= 1;
    return true;
  }
}
