/** Limits of the retries of one route. */
export interface RetryBudgetSettings {
  /** Retries earned by each first attempt, for example 0.1. */
  readonly ratio: number;
  /** Maximum number of retries saved up while few are needed. */
  readonly maxSavedRetries: number;
}

/**
 * Default limit of a route's saved retries; small compared to the number of
 * requests per second of a route.
 */
export const DEFAULT_MAX_SAVED_RETRIES = 10;

/**
 * Token bucket that first attempts fill and retries drain. In any period, the
 * number of attempts is at most `(1 + ratio)` times the number of first
 * attempts, plus the limit of saved retries. The bucket needs no clock, because
 * the load itself fills it.
 */
export class RetryBudget {
  #settings: RetryBudgetSettings;
  #savedRetries = 0;

  constructor(settings: RetryBudgetSettings) {
    this.#settings = settings;
    // A route with little traffic starts with one retry.
    this.#savedRetries = Math.min(1, settings.maxSavedRetries);
  }

  get savedRetries(): number {
    return this.#savedRetries;
  }

  /** Sets new limits; saved retries above the limit are lost. */
  resize(settings: RetryBudgetSettings): void {
    this.#settings = settings;
    this.#savedRetries = Math.min(this.#savedRetries, settings.maxSavedRetries);
  }

  /** Records a first attempt, which earns a part of a retry. */
  recordFirstAttempt(): void {
    const { ratio, maxSavedRetries } = this.#settings;
    this.#savedRetries = Math.min(maxSavedRetries, this.#savedRetries + ratio);
  }

  /** Consumes one saved retry; returns false if there is none. */
  tryConsume(): boolean {
    if (this.#savedRetries < 1) return false;
    this.#savedRetries -= 1;
    return true;
  }
}
