export * from "./byte_budget.ts";
export * from "./byte_holding.ts";
