/**
 * JSON-RPC 2.0 between daemons: newline-delimited JSON over persistent TCP
 * connections that are authenticated by a shared key.
 */
export * from "./keyring.ts";
export * from "./line_splitter.ts";
export * from "./peer_address_controller.ts";
export * from "./peer_connection.ts";
export * from "./peer_error.ts";
export * from "./peer_event.ts";
export * from "./peer_handlers.ts";
export * from "./peer_pool.ts";
export * from "./peer_server.ts";
export * from "./peers.ts";
export * from "./traffic_counter.ts";
