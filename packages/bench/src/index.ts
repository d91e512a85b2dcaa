/**
 * The bench package: the load generator, experiments, failure tests and the
 * process harness. It exports the harness, the seeded random source, and
 * clients that misbehave.
 */
export * from "./harness/index.ts";
export * from "./load/random_source.ts";
export * from "./untrusted_clients/index.ts";
