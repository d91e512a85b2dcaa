export * from "./crash_report_limit.ts";
export * from "./prompt_part_ledger.ts";
export * from "./response_beginning.ts";
