export * from "./admission_controller.ts";
