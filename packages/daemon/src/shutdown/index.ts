/** The graceful shutdown of a daemon. */
export * from "./connection_drain.ts";
export * from "./graceful_shutdown.ts";
