export * from "./field.ts";
export * from "./blackboard.ts";
