/** The load generator, experiments, failure tests and the process harness. */
export * from "./harness/index.ts";
export * from "./load/random_source.ts";
