import { RetryBudget, type RetryBudgetSettings } from "../../retry/index.ts";

/** The bound on retries that all daemons together stay within. */
export interface RetryBound {
  /** Retries allowed for each first attempt at a service. */
  readonly ratio: number;
  /** Further retries allowed in a window, over all daemons. */
  readonly slack: number;
}

/**
 * Share of the bound that is used. The margin is needed because requests are
 * counted over a sliding window and the number of daemons lags by a few
 * seconds.
 */
const USED_SHARE = 0.6;

/**
 * The retry budget of each service. A daemon applies the ratio to its own
 * requests and uses an equal share of the slack, so that all daemons together
 * stay within the bound without messages between them.
 */
export class RetryShares {
  readonly #bound: () => RetryBound;
  readonly #daemonCount: () => number;
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(bound: () => RetryBound, daemonCount: () => number) {
    this.#bound = bound;
    this.#daemonCount = daemonCount;
  }

  budgetOf(service: string): RetryBudget {
    const settings = this.#ownShare();
    const existing = this.#budgets.get(service);
    if (existing) {
      existing.resize(settings);
      return existing;
    }
    const budget = new RetryBudget(settings);
    this.#budgets.set(service, budget);
    return budget;
  }

  /** The share at the current number of daemons, unknown at the start. */
  #ownShare(): RetryBudgetSettings {
    const { ratio, slack } = this.#bound();
    const daemons = Math.max(1, this.#daemonCount());
    return {
      ratio: ratio * USED_SHARE,
      maxSavedRetries: Math.max(1, (slack * USED_SHARE) / daemons),
    };
  }
}
