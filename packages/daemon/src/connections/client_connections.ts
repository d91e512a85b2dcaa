import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import {
  type ConnectionActivity,
  ConnectionLine,
  type TimerService,
} from "@coltsfootford/core";
import {
  abortResponse,
  isTruncatedByClose,
  isTruncatedByEnd,
  RESET_DELAY_MS,
} from "./abort_response.ts";

/** Status lines for errors of the HTTP parser of Node.js. */
const ERROR_STATUSES: ReadonlyMap<string | undefined, string> = new Map([
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", "413 Payload Too Large"],
  ["HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large"],
  ["ERR_HTTP_REQUEST_TIMEOUT", "408 Request Timeout"],
]);

interface Connection {
  /** The responses that have not been delivered yet. */
  readonly responses: Set<ServerResponse>;
  idleSinceMs: number;
  /** Bytes received when the last response ended; undefined before that. */
  receivedBytesAtIdle: number | undefined;
}

/** How many client connections may be open. */
export interface ConnectionLimitOptions {
  /** Undefined for no limit. */
  readonly maxConnections?: number | undefined;
  /** Called for each connection that is closed because there are too many. */
  readonly onLimitClosed?: () => void;
}

/**
 * The client connections of an HTTP server. They are closed without cutting a
 * request: if the server closes a keep-alive connection, it may cut a request
 * that the client is just sending. Therefore responses carry `connection:
 * close`, which makes the client close the connection, and the server closes an
 * idle connection only after the keep-alive timeout that it announced.
 *
 * Where a response must be cut, its connection is reset if its end would make
 * the response look complete.
 */
export class ClientConnections {
  readonly #server: Server;
  readonly #timer: TimerService;
  readonly #connections = new Map<Socket, Connection>();
  readonly #line: ConnectionLine<Socket>;
  readonly #limit: ConnectionLimitOptions;
  #isClosing = false;

  constructor(
    server: Server,
    timer: TimerService,
    limit: ConnectionLimitOptions = {},
  ) {
    this.#server = server;
    this.#timer = timer;
    this.#limit = limit;
    this.#line = new ConnectionLine((socket) => this.#activityOf(socket));
    server.on("connection", (socket) => this.#track(socket));
    server.on("clientError", (error, socket) => {
      this.#rejectMalformed(error, socket as Socket);
    });
    // This listener runs before the application, while headers can still be set.
    server.prependListener("request", (request, response) => {
      this.#trackResponse(request, response);
    });
  }

  /** The number of open connections. */
  get openCount(): number {
    return this.#connections.size;
  }

  /** The number of responses that have not been delivered yet. */
  get pendingCount(): number {
    return [...this.#responses()].length;
  }

  /** Sends `connection: close` with every response from now on. */
  startClosing(): void {
    this.#isClosing = true;
    for (const response of this.#responses()) requestClose(response);
  }

  /** Stops accepting connections; open connections stay open. */
  stopAccepting(): void {
    // `close` of the HTTP server would also close idle connections.
    NetServer.prototype.close.call(this.#server);
  }

  /** Closes the connections that are idle for longer than the keep-alive timeout. */
  closeIdle(): void {
    const nowMs = this.#timer.nowMs();
    for (const [socket, { responses, idleSinceMs }] of this.#connections) {
      if (responses.size > 0) continue;
      const idleMs = nowMs - idleSinceMs;
      if (idleMs > this.#server.keepAliveTimeout) socket.destroy();
    }
  }

  /**
   * Closes all connections, including those with requests in flight. Resolves
   * once no exit of the process can make a truncated response look complete.
   */
  async closeAll(): Promise<void> {
    const truncated = new Set(this.#findTruncated());
    for (const socket of this.#connections.keys()) {
      if (!truncated.has(socket)) socket.destroy();
    }
    if (truncated.size === 0) return;
    await new Promise<void>((resolve) => {
      this.#timer.after(RESET_DELAY_MS, resolve);
    });
    this.resetTruncated();
    for (const socket of this.#connections.keys()) socket.destroy();
  }

  /** Resets at once each connection whose end would hide a truncated response. */
  resetTruncated(): void {
    for (const socket of this.#findTruncated()) socket.resetAndDestroy();
  }

  /** The connections whose close now would hide a truncated response. */
  #findTruncated(): Socket[] {
    return [...this.#connections]
      .filter(([_, { responses }]) => [...responses].some(isTruncatedByClose))
      .map(([socket]) => socket);
  }

  #track(socket: Socket): void {
    const responses = new Set<ServerResponse>();
    const idleSinceMs = this.#timer.nowMs();
    const receivedBytesAtIdle = undefined;
    this.#connections.set(socket, {
      responses,
      idleSinceMs,
      receivedBytesAtIdle,
    });
    this.#line.observe(socket, idleSinceMs);
    socket.once("close", () => {
      this.#connections.delete(socket);
      this.#line.delete(socket);
    });
    // This listener runs before that of Node.js, which ends the connection.
    socket.prependListener("end", () => {
      if ([...responses].some(isTruncatedByEnd)) socket.resetAndDestroy();
    });
    this.#closeExcess(socket);
  }

  /**
   * Closes a connection if there are too many: the new one if each of the others
   * serves a request.
   */
  #closeExcess(added: Socket): void {
    const { maxConnections, onLimitClosed } = this.#limit;
    if (maxConnections === undefined || this.#line.size <= maxConnections) {
      return;
    }
    const excess = this.#line.findNext(this.#timer.nowMs()) ?? added;
    // The `close` event comes later, and other connections may come before it.
    this.#line.delete(excess);
    excess.destroy();
    onLimitClosed?.();
  }

  #activityOf(socket: Socket): ConnectionActivity {
    const { bytesRead: receivedBytes } = socket;
    const { responses, receivedBytesAtIdle } = this.#connections.get(socket)!;
    if ([...responses].some(isResponseToCompleteRequest)) {
      return { phase: "serving", receivedBytes };
    }
    const isIdle = responses.size === 0 &&
      receivedBytes === receivedBytesAtIdle;
    return { phase: isIdle ? "idle" : "receiving", receivedBytes };
  }

  /**
   * Ends a connection on which bytes arrived that are no request. They get an
   * error response only if no earlier request waits for its own.
   */
  #rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const { responses } = this.#connections.get(socket) ?? {};
    const pending = [...responses ?? []].filter(isResponseToCompleteRequest);
    const running = pending.filter(({ writableEnded }) => !writableEnded);
    if (running.length > 0) {
      for (const response of running) abortResponse(response, this.#timer);
      return;
    }
    // What is buffered still arrives. An error could become a part of it.
    if (pending.length > 0) return void socket.end();
    const status = ERROR_STATUSES.get(error.code) ?? "400 Bad Request";
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  }

  #trackResponse(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (!connection) return;
    connection.responses.add(response);
    if (this.#isClosing) requestClose(response);
    response.once("close", () => {
      connection.responses.delete(response);
      connection.idleSinceMs = this.#timer.nowMs();
      connection.receivedBytesAtIdle = request.socket.bytesRead;
      if (!request.socket.destroyed) {
        this.#line.observe(request.socket, connection.idleSinceMs);
      }
    });
  }

  *#responses(): Iterable<ServerResponse> {
    for (const { responses } of this.#connections.values()) yield* responses;
  }
}

/** Whether bytes that follow on the connection are not a part of the request. */
function isResponseToCompleteRequest(response: ServerResponse): boolean {
  return response.headersSent || response.req.complete;
}

function requestClose(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader("connection", "close");
}
