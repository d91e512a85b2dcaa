export * from "./schemas.ts";
export * from "./object_set.ts";
