export * from "./key_value_service.ts";
export * from "./platform_options.ts";
