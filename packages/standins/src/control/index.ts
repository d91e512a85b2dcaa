export * from "./control_port.ts";
export * from "./process_settings.ts";
export * from "./stand_in_process.ts";
