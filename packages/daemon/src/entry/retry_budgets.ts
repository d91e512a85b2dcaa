import {
  DEFAULT_MAX_SAVED_RETRIES,
  RetryBudget,
  type Route,
} from "@coltsfootford/core";

/** The retry budgets of this daemon, one per route. */
export class RetryBudgets {
  readonly #byRoute = new Map<string, { ratio: number; budget: RetryBudget }>();

  /** The budget of a route; a change of its ratio resets the budget. */
  forRoute(route: Route): RetryBudget {
    const ratio = route.retryBudgetRatio;
    const existing = this.#byRoute.get(route.name);
    if (existing?.ratio === ratio) return existing.budget;
    const maxSavedRetries = DEFAULT_MAX_SAVED_RETRIES;
    const budget = new RetryBudget({ ratio, maxSavedRetries });
    this.#byRoute.set(route.name, { ratio, budget });
    return budget;
  }
}
