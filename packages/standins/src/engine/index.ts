export * from "./completion.ts";
export { FOREIGN_COMPLETION_ID } from "./chat_handler.ts";
export * from "./engine_faults.ts";
export * from "./engine_options.ts";
export * from "./model_engine.ts";
export * from "./prompt.ts";
