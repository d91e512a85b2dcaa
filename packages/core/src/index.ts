/**
 * The decision logic of the fleet. It uses no sockets, clocks or randomness of
 * its own, so that replaying a recorded trace gives the same decisions.
 */
export * from "./admission/index.ts";
export * from "./bound/index.ts";
export * from "./byte_budget/index.ts";
export * from "./claims/index.ts";
export * from "./config/index.ts";
export * from "./config_check/index.ts";
export * from "./connections/index.ts";
export * from "./errors/index.ts";
export * from "./forwarding/index.ts";
export * from "./hash/index.ts";
export * from "./ownership/index.ts";
export * from "./membership/index.ts";
export * from "./objects/index.ts";
export * from "./outcome/index.ts";
export * from "./placement/index.ts";
export * from "./poison/index.ts";
export * from "./response/index.ts";
export * from "./retry/index.ts";
export * from "./scarcity/index.ts";
export * from "./shutdown/index.ts";
export * from "./store/index.ts";
export * from "./timer/index.ts";
