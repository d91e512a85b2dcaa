/** Connects the membership protocol to sockets, the clock and the blackboard. */
export * from "./membership_controller.ts";
export * from "./target_health_controller.ts";
