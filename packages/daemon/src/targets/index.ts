export * from "./bounded_connector.ts";
export * from "./check_heads.ts";
export * from "./target_client.ts";
