export * from "./answer.ts";
export * from "./engine_faults.ts";
export * from "./engine_options.ts";
export * from "./model_engine.ts";
export * from "./prompt.ts";
