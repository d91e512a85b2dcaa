export * from "./cache_estimates.ts";
export * from "./cache_source.ts";
export * from "./choose_target.ts";
export * from "./evacuations.ts";
export * from "./load_estimates.ts";
export * from "./preferred_target_order.ts";
export * from "./unreachable_zones.ts";
