export { flushOutputs } from "./client_output.ts";
export type { RequestGuards } from "./request_guards.ts";
export * from "./retry_budgets.ts";
export * from "./entry_server.ts";
export * from "./local_permit_gate.ts";
export * from "./permit_gate.ts";
export * from "./running_requests.ts";
export type { TargetOrder } from "./target_order.ts";
export type { RequestContext } from "./request_context.ts";
