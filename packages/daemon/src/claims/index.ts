export * from "./claim_controller.ts";
export * from "./claimed_calls.ts";
