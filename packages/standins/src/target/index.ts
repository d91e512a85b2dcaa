export * from "./load_reports.ts";
export * from "./target.ts";
export * from "./target_faults.ts";
