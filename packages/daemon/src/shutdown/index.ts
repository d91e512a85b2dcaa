/** The graceful shutdown of a daemon. */
export * from "./graceful_shutdown.ts";
