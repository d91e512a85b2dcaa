export * from "./config_controller.ts";
