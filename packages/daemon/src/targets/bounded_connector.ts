import type { Socket } from "node:net";
import { type buildConnector, errors } from "undici";
import { connectChecked } from "../connections/index.ts";

/** Idle time after which the kernel sends TCP keep-alive probes. */
const KEEP_ALIVE_PROBE_MS = 60_000;

/**
 * Creates a connector whose connections report resets as errors, and close once
 * more than `maxBytes` were received since the last request was written. The
 * HTTP client takes a reset for the end of a body without a length, and bounds
 * bodies only, and not what comes before a head.
 */
export function createBoundedConnector(
  timeoutMs: number,
  maxBytes: number,
): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket = connectChecked({
      host: hostname,
      port: Number(port),
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
    });
    const onTimeout = () => {
      const message = `no connection in ${timeoutMs} ms`;
      socket.destroy(new errors.ConnectTimeoutError(message));
    };
    let isSettled = false;
    socket.setTimeout(timeoutMs, onTimeout);
    socket.on("error", (error) => {
      if (isSettled) return;
      isSettled = true;
      callback(error, null);
    });
    socket.once("connect", () => {
      isSettled = true;
      socket.setTimeout(0).off("timeout", onTimeout);
      closeAfterBytes(socket, maxBytes);
      callback(null, socket);
    });
  };
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
