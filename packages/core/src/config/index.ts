/** Validates, splits, compares and replicates the operators' configuration. */
export * from "./canonical_json.ts";
export type { SourceObject } from "./check_input.ts";
export * from "./check_objects.ts";
export * from "./config_validation_error.ts";
export * from "./config_follower.ts";
export * from "./config_head.ts";
export * from "./config_tree.ts";
export * from "./diff_objects.ts";
export * from "./fallback_routes.ts";
export * from "./layout.ts";
export * from "./object_key.ts";
export * from "./part_contents.ts";
export * from "./publication.ts";
export * from "./relay_tree.ts";
