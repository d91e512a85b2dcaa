/**
 * The bench package: the load generator, experiments, failure tests and the
 * process harness. It exports only the harness and the seeded random source.
 */
export * from "./harness/index.ts";
export * from "./load/random_source.ts";
