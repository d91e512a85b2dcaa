import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { TimerService } from "@coltsfootford/core";

interface Connection {
  runningAnswers: number;
  idleSinceMs: number;
}

/**
 * Closes an HTTP server without cutting a request. A kept connection that is
 * closed by the server may cut a request that its client is just sending, so
 * answers ask the client to close, and an idle connection is closed only once
 * a client no longer uses it: after the time that the server promised it.
 */
export class ConnectionDrain {
  readonly #server: Server;
  readonly #timer: TimerService;
  readonly #connections = new Map<Socket, Connection>();
  readonly #answers = new Set<ServerResponse>();
  #isClosing = false;

  constructor(server: Server, timer: TimerService) {
    this.#server = server;
    this.#timer = timer;
    server.on("connection", (socket) => this.#track(socket));
    // Before the application, so that headers are not sent yet.
    server.prependListener("request", (request, response) => {
      this.#trackAnswer(request, response);
    });
  }

  /** Connections that are open. */
  get openCount(): number {
    return this.#connections.size;
  }

  /** Asks the clients of all further answers to close their connections. */
  startClosing(): void {
    this.#isClosing = true;
    for (const response of this.#answers) askToClose(response);
  }

  /** Takes no new connections; those that are open stay. */
  stopAccepting(): void {
    // The close of the HTTP server itself would close idle connections.
    NetServer.prototype.close.call(this.#server);
  }

  /** Closes the connections that are idle for longer than was promised. */
  closeIdle(): void {
    const nowMs = this.#timer.nowMs();
    for (const [socket, connection] of this.#connections) {
      if (connection.runningAnswers > 0) continue;
      const idleMs = nowMs - connection.idleSinceMs;
      if (idleMs > this.#server.keepAliveTimeout) socket.destroy();
    }
  }

  /** Closes everything, whatever still runs. */
  closeAll(): void {
    for (const socket of this.#connections.keys()) socket.destroy();
  }

  #track(socket: Socket): void {
    const idleSinceMs = this.#timer.nowMs();
    this.#connections.set(socket, { runningAnswers: 0, idleSinceMs });
    socket.once("close", () => this.#connections.delete(socket));
  }

  #trackAnswer(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (!connection) return;
    connection.runningAnswers += 1;
    this.#answers.add(response);
    if (this.#isClosing) askToClose(response);
    response.once("close", () => {
      this.#answers.delete(response);
      connection.runningAnswers -= 1;
      connection.idleSinceMs = this.#timer.nowMs();
    });
  }
}

function askToClose(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader("connection", "close");
}
