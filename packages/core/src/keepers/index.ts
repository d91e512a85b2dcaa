export * from "./keeper_table.ts";
