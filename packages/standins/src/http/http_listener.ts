import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { getRequestListener, type HttpBindings } from "@hono/node-server";
import type { Hono } from "hono";

/** The bindings with the raw request and response of Node for a handler. */
export interface NodeEnv {
  readonly Bindings: HttpBindings;
}

/** The address, the handlers, and a check before each request. */
export interface HttpListenerOptions {
  readonly app: Hono<NodeEnv>;
  readonly host: string;
  /** Zero selects a free port. */
  readonly port: number;
  /**
   * Returns false to destroy the connection instead of handling the request.
   * `requestIndex` counts the requests of the connection from zero.
   */
  readonly acceptRequest?: (
    request: IncomingMessage,
    requestIndex: number,
  ) => boolean;
}

/**
 * An HTTP server that tracks its connections, so that a stand-in can disappear
 * like a killed process and reopen on the same port.
 */
export class HttpListener {
  readonly #options: HttpListenerOptions;
  readonly #sockets = new Set<Socket>();
  readonly #requestCounts = new WeakMap<Socket, number>();
  #server: Server | undefined;
  #port = 0;

  private constructor(options: HttpListenerOptions) {
    this.#options = options;
    this.#port = options.port;
  }

  /** Starts a listener; rejects if the port is in use. */
  static async start(options: HttpListenerOptions): Promise<HttpListener> {
    const listener = new HttpListener(options);
    await listener.open();
    return listener;
  }

  /** The port of the listener; set once the listener has opened. */
  get port(): number {
    return this.#port;
  }

  get isOpen(): boolean {
    return this.#server !== undefined;
  }

  /** Starts to listen; again on the same port after `close`. */
  async open(): Promise<void> {
    if (this.#server) return;
    const handle = getRequestListener(this.#options.app.fetch, {
      overrideGlobalObjects: false,
    });
    const server = createServer((request, response) => {
      const index = this.#requestCounts.get(request.socket) ?? 0;
      this.#requestCounts.set(request.socket, index + 1);
      if (this.#options.acceptRequest?.(request, index) === false) {
        request.socket.destroy();
        return;
      }
      void handle(request, response);
    });
    server.on("connection", (socket) => this.#track(socket));
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.#port, this.#options.host, () => resolve());
    });
    this.#port = (server.address() as AddressInfo).port;
    this.#server = server;
  }

  /** Stops listening and destroys every connection. */
  async close(): Promise<void> {
    const server = this.#server;
    if (!server) return;
    this.#server = undefined;
    const closed = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    this.destroyConnections();
    await closed;
  }

  /** Destroys every connection; the server keeps listening. */
  destroyConnections(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  #track(socket: Socket): void {
    socket.setNoDelay(true);
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
  }
}
