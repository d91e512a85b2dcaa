import type { AdmissionController } from "../admission/index.ts";
import type { ClaimedCalls } from "../claims/index.ts";
import type { PoisonController } from "../poison/index.ts";
import type { RetryBudgets } from "./retry_budgets.ts";

/** The checks that a request passes before and between its attempts. */
export interface RequestGuards {
  readonly admission: AdmissionController;
  readonly claims: ClaimedCalls;
  readonly poison: PoisonController;
  readonly retries: RetryBudgets;
}
