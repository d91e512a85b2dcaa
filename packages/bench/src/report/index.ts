export * from "./bench_report.ts";
export * from "./format_tables.ts";
export * from "./html_report.ts";
export * from "./goals.ts";
