export * from "./events.ts";
export * from "./logger.ts";
export * from "./bounded_logger.ts";
export * from "./limited_logger.ts";
