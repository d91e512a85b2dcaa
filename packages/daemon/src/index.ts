/** The daemon `coltsfootd`, as a library for tests and benches. */
export * from "./daemon.ts";
export * from "./settings/index.ts";
