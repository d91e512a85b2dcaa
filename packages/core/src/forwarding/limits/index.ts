export * from "./cold_limit.ts";
export * from "./cold_targets.ts";
export * from "./even_turns.ts";
export * from "./limit_owners.ts";
export * from "./named_limits.ts";
export * from "./permit_denials.ts";
export * from "./permit_limiters.ts";
export * from "./rate_limiter.ts";
