export * from "./bounded_connector.ts";
export * from "./target_client.ts";
