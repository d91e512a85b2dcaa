export * from "./prompt.ts";
