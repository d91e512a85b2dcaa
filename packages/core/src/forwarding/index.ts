/** Decision logic for forwarding HTTP requests to the targets of a service. */
export * from "./cache_estimates.ts";
export * from "./cache_source.ts";
export * from "./choose_target.ts";
export * from "./event_frames.ts";
export * from "./forwarding_config.ts";
export * from "./load_estimates.ts";
export * from "./overload_announcements.ts";
export * from "./preferred_target_order.ts";
export * from "./prompt.ts";
export * from "./relay_tree.ts";
export * from "./response_limits.ts";
export * from "./response_wait.ts";
export * from "./retry_after.ts";
export * from "./retry_share.ts";
export * from "./route_table.ts";
export * from "./target_record.ts";
export * from "./target_registry.ts";
