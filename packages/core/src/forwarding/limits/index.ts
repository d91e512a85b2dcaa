export * from "./limit_owners.ts";
export * from "./named_limits.ts";
export * from "./permit_denials.ts";
export * from "./rate_limiter.ts";
