export * from "./run_capacity.ts";
