export * from "./events.ts";
export * from "./logger.ts";
