export * from "./schema.ts";
export * from "./load_settings.ts";
