export * from "./byte_budget.ts";
export * from "./byte_holding.ts";
export * from "./plan_byte_budget.ts";
