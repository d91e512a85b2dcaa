/** Outgoing connections that tell a reset from an end. */
export * from "./checked_socket.ts";
