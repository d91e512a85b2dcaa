export * from "./target_client.ts";
