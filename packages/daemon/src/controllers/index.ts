export * from "./controller.ts";
