export * from "./ownership_controller.ts";
export * from "./ownership_membership.ts";
export * from "./owner_permit_gate.ts";
