export * from "./forwarding_config.ts";
export * from "./route_table.ts";
