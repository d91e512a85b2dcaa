export * from "./create_garbage_limit.ts";
export * from "./garbage_limit.ts";
