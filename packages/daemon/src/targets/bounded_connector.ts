import type { Socket } from "node:net";
import { buildConnector } from "undici";

/**
 * Creates a connector whose connections close once more than `maxBytes` were
 * received since the last request was written. The HTTP client bounds bodies
 * only, and not what comes before a head.
 */
export function createBoundedConnector(
  timeoutMs: number,
  maxBytes: number,
): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) =>
    connect(options, (...[error, socket]) => {
      if (error) return callback(error, null);
      closeAfterBytes(socket, maxBytes);
      callback(null, socket);
    });
}

function closeAfterBytes(socket: Socket, maxBytes: number): void {
  let sentBytes = socket.bytesWritten;
  let receivedBytesAtSend = socket.bytesRead;
  socket.on("readable", () => {
    if (socket.bytesWritten !== sentBytes) {
      sentBytes = socket.bytesWritten;
      receivedBytesAtSend = socket.bytesRead;
    }
    if (socket.bytesRead - receivedBytesAtSend <= maxBytes) return;
    socket.destroy(new Error(`more than ${maxBytes} bytes for one request`));
  });
}
