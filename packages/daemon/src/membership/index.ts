/** The daemon's side of the membership: sockets, clock and blackboard. */
export * from "./membership_controller.ts";
export * from "./target_health_controller.ts";
