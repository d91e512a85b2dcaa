import { maxHeaderSize, type Server } from "node:http";

/** A server with the option that Node.js reads for each new connection. */
interface HeadLimitedServer extends Server {
  maxHeaderSize?: number;
}

/**
 * Limits the heads, and the trailers, on connections that are accepted from now
 * on. The parser rejects longer ones as soon as they exceed `bytes`.
 */
export function setMaxHeadBytes(
  server: HeadLimitedServer,
  bytes: number,
): void {
  server.maxHeaderSize = bytes;
}

/** The limit of the connections that are accepted now. */
export function maxHeadBytes(server: HeadLimitedServer): number {
  return server.maxHeaderSize ?? maxHeaderSize;
}
