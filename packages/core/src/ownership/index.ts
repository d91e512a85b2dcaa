export * from "./owner_table.ts";
