export * from "./decide_retry.ts";
export * from "./retry_budget.ts";
export * from "./target_absences.ts";
