/** Load, experiments, failure tests and the harness that starts processes. */
export * from "./harness/index.ts";
export * from "./load/random_source.ts";
