/** Decisions of the forwarding path: any HTTP request to a service's target. */
export * from "./cache_estimates.ts";
export * from "./cache_source.ts";
export * from "./choose_target.ts";
export * from "./event_frames.ts";
export * from "./forwarding_config.ts";
export * from "./preferred_target_order.ts";
export * from "./prompt.ts";
export * from "./retry_share.ts";
export * from "./return_time.ts";
export * from "./route_table.ts";
export * from "./silence.ts";
export * from "./target_record.ts";
export * from "./target_registry.ts";
