export * from "./deployments.ts";
export * from "./generate_load.ts";
export * from "./random_source.ts";
export * from "./trace.ts";
