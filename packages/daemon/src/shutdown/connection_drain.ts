import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { TimerService } from "@coltsfootford/core";

interface Connection {
  activeResponses: number;
  idleSinceMs: number;
}

/**
 * Closes an HTTP server without cutting a request. If the server closes a
 * keep-alive connection, it may cut a request that the client is just sending.
 * Therefore responses carry `connection: close`, which makes the client close the
 * connection, and the server closes an idle connection only after the keep-alive
 * timeout that it announced.
 */
export class ConnectionDrain {
  readonly #server: Server;
  readonly #timer: TimerService;
  readonly #connections = new Map<Socket, Connection>();
  readonly #responses = new Set<ServerResponse>();
  #isClosing = false;

  constructor(server: Server, timer: TimerService) {
    this.#server = server;
    this.#timer = timer;
    server.on("connection", (socket) => this.#track(socket));
    // This listener runs before the application, while headers can still be set.
    server.prependListener("request", (request, response) => {
      this.#trackResponse(request, response);
    });
  }

  /** The number of open connections. */
  get openCount(): number {
    return this.#connections.size;
  }

  /** Sends `connection: close` with every response from now on. */
  startClosing(): void {
    this.#isClosing = true;
    for (const response of this.#responses) requestClose(response);
  }

  /** Stops accepting connections; open connections stay open. */
  stopAccepting(): void {
    // `close` of the HTTP server would also close idle connections.
    NetServer.prototype.close.call(this.#server);
  }

  /** Closes the connections that are idle for longer than the keep-alive timeout. */
  closeIdle(): void {
    const nowMs = this.#timer.nowMs();
    for (const [socket, connection] of this.#connections) {
      if (connection.activeResponses > 0) continue;
      const idleMs = nowMs - connection.idleSinceMs;
      if (idleMs > this.#server.keepAliveTimeout) socket.destroy();
    }
  }

  /** Closes all connections, including those with requests in flight. */
  closeAll(): void {
    for (const socket of this.#connections.keys()) socket.destroy();
  }

  #track(socket: Socket): void {
    const idleSinceMs = this.#timer.nowMs();
    this.#connections.set(socket, { activeResponses: 0, idleSinceMs });
    socket.once("close", () => this.#connections.delete(socket));
  }

  #trackResponse(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (!connection) return;
    connection.activeResponses += 1;
    this.#responses.add(response);
    if (this.#isClosing) requestClose(response);
    response.once("close", () => {
      this.#responses.delete(response);
      connection.activeResponses -= 1;
      connection.idleSinceMs = this.#timer.nowMs();
    });
  }
}

function requestClose(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader("connection", "close");
}
