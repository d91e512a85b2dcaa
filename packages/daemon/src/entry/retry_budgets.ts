import {
  DEFAULT_MAX_SAVED_RETRIES,
  RetryBudget,
  type Route,
} from "@coltsfootford/core";

/** The retry budgets of this daemon, one for each route. */
export class RetryBudgets {
  readonly #byRoute = new Map<string, { ratio: number; budget: RetryBudget }>();

  /** The budget of a route; a changed ratio starts a new one. */
  of(route: Route): RetryBudget {
    const ratio = route.retryBudgetRatio;
    const known = this.#byRoute.get(route.name);
    if (known?.ratio === ratio) return known.budget;
    const maxSaved = DEFAULT_MAX_SAVED_RETRIES;
    const budget = new RetryBudget({ ratio, maxSaved });
    this.#byRoute.set(route.name, { ratio, budget });
    return budget;
  }
}
