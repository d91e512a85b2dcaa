export * from "./outcome.ts";
