/** The order of a store's history, and what a restored store changes. */
export * from "./listed_peers.ts";
export * from "./published_records.ts";
export * from "./store_history.ts";
export * from "./store_revision.ts";
export * from "./store_relays.ts";
export * from "./store_source.ts";
