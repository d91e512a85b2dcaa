/** The daemon `coltsfootd` as a library for tests and benchmarks. */
export * from "./daemon.ts";
export * from "./settings/index.ts";
export { ClaimController } from "./claims/index.ts";
export { Metrics } from "./metrics/index.ts";
