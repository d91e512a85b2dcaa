export * from "./plain_service.ts";
export * from "./service_options.ts";
