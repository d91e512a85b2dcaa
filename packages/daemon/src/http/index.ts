export * from "./listen.ts";
