/** Connects the membership protocol to sockets, clock and blackboard. */
export * from "./membership_controller.ts";
export * from "./target_health_controller.ts";
