import type { ClientRequest, IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";

/**
 * A socket with the parser that Node.js attaches to it, which is not documented.
 * The parser collects there what it has parsed of a message's lines.
 */
interface ParsedSocket extends Socket {
  readonly parser?: { _headers?: readonly string[] } | null;
}

/**
 * Makes the parser pass on all lines of a head, and of trailers. By default
 * Node.js drops those that follow the first 1,000 without notice. What limits
 * their number is the limit on the bytes of a head.
 */
export function keepAllLines(messages: Server | ClientRequest): void {
  messages.maxHeadersCount = 0;
}

/**
 * Drops the lines of a head that was read. Node.js keeps a message until its
 * response has ended and its body has arrived.
 */
export function releaseHead(message: IncomingMessage): void {
  message.rawHeaders = [];
  message.headers = {};
}

/**
 * The number of names and values that the parser of a connection keeps of a head
 * or of trailers whose end has not arrived.
 */
export function countPartialStrings(socket: Socket): number {
  return (socket as ParsedSocket).parser?._headers?.length ?? 0;
}

/** Drops these names and values, where no more of the connection is parsed. */
export function releasePartialStrings(socket: Socket): void {
  const { parser } = socket as ParsedSocket;
  if (parser?._headers) parser._headers = [];
}
