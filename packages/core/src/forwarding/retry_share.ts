import { RetryBudget, type RetryBudgetSettings } from "../retry/index.ts";

/** The bound on repeats that all daemons keep together. */
export interface RetryBound {
  /** Repeats allowed for each first request of a service. */
  readonly ratio: number;
  /** Repeats allowed beside that in a window, over all daemons. */
  readonly slack: number;
}

/**
 * Part of the bound that is used: requests are counted over a window that
 * slides, and the number of daemons is known only a few seconds late.
 */
const USED_SHARE = 0.6;

/**
 * The budgets of repeats for each service. A daemon takes its share of the
 * slack, and the ratio of its own requests, so that the sum over all daemons
 * keeps the bound without a message between them.
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
    const known = this.#budgets.get(service);
    if (known) {
      known.resize(settings);
      return known;
    }
    const budget = new RetryBudget(settings);
    this.#budgets.set(service, budget);
    return budget;
  }

  /** Follows the number of daemons, which is not known at the start. */
  #ownShare(): RetryBudgetSettings {
    const { ratio, slack } = this.#bound();
    const daemons = Math.max(1, this.#daemonCount());
    return {
      ratio: ratio * USED_SHARE,
      maxSaved: Math.max(1, (slack * USED_SHARE) / daemons),
    };
  }
}
