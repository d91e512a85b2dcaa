/** Connections that tell a truncated message from a complete one. */
export * from "./abort_response.ts";
export * from "./checked_socket.ts";
export * from "./client_connections.ts";
export * from "./create_connection_limit.ts";
export * from "./max_head_bytes.ts";
export * from "./parsed_lines.ts";
export * from "./serve_in_order.ts";
