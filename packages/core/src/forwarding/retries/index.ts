export * from "./retry_after.ts";
export * from "./retry_share.ts";
