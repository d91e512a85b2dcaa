/** Clients that keep to no limit, and what a process uses beside them. */
export * from "./crowd.ts";
export * from "./misbehaving_clients.ts";
export * from "./process_usage.ts";
export * from "./run_crowd.ts";
