/** Publishes object sets to the platform and reads the published set. */
export * from "./publish_checks.ts";
export * from "./published_set.ts";
export * from "./publisher.ts";
export * from "./publication_records.ts";
export * from "./sha256.ts";
export * from "./wait_in_force.ts";
