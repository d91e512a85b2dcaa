import type { Socket } from "node:net";

/**
 * Stops the HTTP parser of a server's connection for good, so that nothing which
 * still arrives becomes a request. It is read and dropped: a close with unread
 * bytes resets the connection, and the client may lose its response.
 */
export function discardInput(socket: Socket): void {
  socket.removeAllListeners("data");
  // Node.js detaches its parser from a socket that gets such a listener.
  socket.on("data", () => {});
}
