export * from "./keeper_controller.ts";
export * from "./keeper_membership.ts";
export * from "./keeper_permit_gate.ts";
