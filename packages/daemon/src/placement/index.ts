export * from "./placement_controller.ts";
