export * from "./admission_log.ts";
export * from "./clock.ts";
export * from "./prefix_history.ts";
export * from "./run_log.ts";
export * from "./shared_truth.ts";
