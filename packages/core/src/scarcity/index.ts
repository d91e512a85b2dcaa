export * from "./admission_decision.ts";
export * from "./service_order.ts";
export * from "./slot_line.ts";
export * from "./slot_request.ts";
