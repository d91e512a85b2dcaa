import { Agent, type ClientRequest, type ClientRequestArgs } from "node:http";
import {
  Socket,
  type SocketConstructorOpts,
  type TcpSocketConnectOpts,
} from "node:net";

/** The peer has reset a connection, or will do so. */
export class ConnectionResetError extends Error {
  /** Not `ECONNRESET`, which some HTTP clients take for the end of a body. */
  readonly code = "ERR_CONNECTION_RESET";

  constructor(options?: ErrorOptions) {
    super("connection was reset by its peer", options);
  }
}

/**
 * A TCP socket that reports each reset by its peer as an error, and each end
 * while bytes wait to be sent: a peer that reads no more resets the connection
 * with the next of them.
 *
 * The event loop of Node.js reports a reset that arrives together with the last
 * bytes as an end (libuv takes a hang-up after a partial read for one), and a
 * body that only the end of its connection delimits would then look complete.
 * The kernel knows the peer's address until a connection is reset, so it is
 * looked up at the end. Node.js caches the address: nothing may read
 * `remoteAddress` before.
 */
export class CheckedSocket extends Socket {
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null || !this.#isCut()) return super.push(chunk, encoding);
    this.destroy(new ConnectionResetError());
    return false;
  }

  #isCut(): boolean {
    return this.remoteAddress === undefined || this.writableLength > 0;
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    const isReset = (error as NodeJS.ErrnoException | null)?.code ===
      "ECONNRESET";
    super._destroy(
      isReset ? new ConnectionResetError({ cause: error }) : error,
      callback,
    );
  }
}

/** Options of a connection that an `Agent` opens. */
type ConnectionOptions = SocketConstructorOpts & TcpSocketConnectOpts & {
  readonly timeout?: number;
};

/** Connects a socket; `timeout` is its idle time-out in ms. */
export function connectChecked(options: ConnectionOptions): CheckedSocket {
  const socket = new CheckedSocket(options);
  if (options.timeout) socket.setTimeout(options.timeout);
  return socket.connect(options);
}

/** The method of an agent that its types leave out. */
interface RequestTaker {
  addRequest(request: ClientRequest, options: ClientRequestArgs): void;
}

const { addRequest } = Agent.prototype as unknown as RequestTaker;

/** Persistent connections whose resets are reported as errors. */
export class CheckedAgent extends Agent {
  // Called by Node.js for each request. A connection keeps the options of the
  // request that opened it, and needs no headers.
  addRequest(request: ClientRequest, options: ClientRequestArgs): void {
    addRequest.call(this, request, { ...options, headers: undefined });
  }

  // Called by Node.js to open a connection.
  override createConnection(options: ClientRequestArgs): Socket {
    return connectChecked(options as ConnectionOptions);
  }
}
