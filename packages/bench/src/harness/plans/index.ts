export * from "./barandas.ts";
export * from "./batinah.ts";
export * from "./small.ts";
