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
import { HeldBytes } from "../buffering/index.ts";
import {
  ClientInput,
  type ClientInputDependencies,
  type InputMemory,
} from "./client_input.ts";
import { InputQueue } from "./input_queue.ts";
import { maxHeadBytes } from "./max_head_bytes.ts";
import { keepAllLines, releaseHead } from "./parsed_lines.ts";
import {
  createHeadOverflow,
  REQUEST_TIMEOUT,
  statusOfError,
} from "./parser_errors.ts";

/** Time in which a client must read the last response of its connection. */
const LINGER_MS = 2_000;

/**
 * Requests of one connection that are accepted at once. The second one shows
 * malformed bytes behind the first; the rest waits on the connection.
 */
const MAX_PIPELINED_REQUESTS = 2;

interface Connection {
  readonly input: ClientInput;
  /** The limit on heads that its parser has. */
  readonly maxHeadBytes: number;
  /** The responses that have not been delivered yet. */
  readonly responses: Set<ServerResponse>;
  /** The number of requests whose heads have arrived. */
  requestCount: number;
  /** Whether what arrives is dropped, and the connection ends. */
  isInputDiscarded: boolean;
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

/** Options of `ClientConnections`. */
export interface ClientConnectionsOptions extends ConnectionLimitOptions {
  /** Called before a connection is ended for a late or malformed request. */
  readonly onRejected?: (error: NodeJS.ErrnoException, socket: Socket) => void;
  /** The account of input; without it, input that waits is not limited. */
  readonly memory?: InputMemory;
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
 *
 * A connection that gets an error response from here is read no further: a
 * status such as 408 promises that the request never executes.
 */
export class ClientConnections {
  readonly #server: Server;
  readonly #timer: TimerService;
  readonly #connections = new Map<Socket, Connection>();
  readonly #line: ConnectionLine<Socket>;
  readonly #options: ClientConnectionsOptions;
  readonly #inputs: ClientInputDependencies;
  #isClosing = false;

  constructor(
    server: Server,
    timer: TimerService,
    options: ClientConnectionsOptions = {},
  ) {
    this.#server = server;
    this.#timer = timer;
    this.#options = options;
    this.#inputs = {
      queue: new InputQueue(timer),
      timer,
      memory: options.memory ?? {
        open: (kind) => new HeldBytes(undefined, kind, timer),
        onReceived: () => {},
        onLargeHead: () => {},
      },
    };
    this.#line = new ConnectionLine((socket) => this.#activityOf(socket));
    keepAllLines(server);
    server.on("connection", (socket) => this.#track(socket));
    server.on("clientError", (error, socket) => {
      this.#onClientError(error, socket as Socket);
    });
    server.on("timeout", (socket) => this.#closeIfQuiet(socket));
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
    for (const [socket, connection] of this.#connections) {
      const { input, responses, idleSinceMs } = connection;
      if (responses.size > 0 || input.hasInput) continue;
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
    const headLimitBytes = maxHeadBytes(this.#server);
    const input = new ClientInput(socket, this.#inputs, {
      maxHeadBytes: headLimitBytes,
      pendingCount: () => responses.size,
      onHeadTooLong: () => this.#onClientError(createHeadOverflow(), socket),
      canParse: () => responses.size < MAX_PIPELINED_REQUESTS,
      onEvicted: () => this.#onInputEvicted(socket),
    });
    this.#connections.set(socket, {
      input,
      maxHeadBytes: headLimitBytes,
      responses,
      requestCount: 0,
      isInputDiscarded: false,
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
    const { maxConnections, onLimitClosed } = this.#options;
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
    const { input, responses, receivedBytesAtIdle } = this.#connections.get(
      socket,
    )!;
    if ([...responses].some(isResponseToCompleteRequest)) {
      return { phase: "serving", receivedBytes };
    }
    const isIdle = responses.size === 0 && !input.hasInput &&
      receivedBytes === receivedBytesAtIdle;
    return { phase: isIdle ? "idle" : "receiving", receivedBytes };
  }

  /** Closes a connection that was idle for long, unless bytes have arrived. */
  #closeIfQuiet(socket: Socket): void {
    const { bytesRead } = socket;
    afterInput(() => {
      const { input, responses } = this.#connections.get(socket) ?? {};
      if (input?.hasInput) return;
      if (responses?.size === 0 && socket.bytesRead === bytesRead) {
        socket.destroy();
      }
    });
  }

  /** Handles a late request, or bytes that are no request. */
  #onClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (!connection || connection.isInputDiscarded) return;
    if (error.code !== REQUEST_TIMEOUT) {
      return this.#rejectMalformed(error, socket, connection);
    }
    const { requestCount } = connection;
    const last = [...connection.responses].at(-1)?.req;
    const lateBody = last?.complete === false ? last : undefined;
    afterInput(() => {
      const hasArrived = lateBody
        ? lateBody.complete
        : connection.requestCount > requestCount;
      if (hasArrived || socket.destroyed) return;
      this.#rejectLate(error, socket, connection);
    });
  }

  /** Ends a connection whose request is late, after its earlier responses. */
  #rejectLate(
    error: NodeJS.ErrnoException,
    socket: Socket,
    connection: Connection,
  ): void {
    this.#options.onRejected?.(error, socket);
    this.#discardInput(connection);
    const pending = findPending(connection);
    if (pending.length === 0) return this.#endWithError(socket, error);
    for (const response of pending) requestClose(response);
  }

  /** Ends a connection that takes too much memory, after its responses. */
  #onInputEvicted(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (!connection || connection.isInputDiscarded) return;
    const pending = findPending(connection);
    if (pending.length === 0) {
      socket.destroy();
      return;
    }
    this.#discardInput(connection);
    for (const response of pending) requestClose(response);
  }

  /** Nothing that still arrives on the connection becomes a request. */
  #discardInput(connection: Connection): void {
    connection.isInputDiscarded = true;
    connection.input.discard();
  }

  /**
   * Ends a connection on which bytes arrived that are no request. They get an
   * error response only if no earlier request waits for its own.
   */
  #rejectMalformed(
    error: NodeJS.ErrnoException,
    socket: Socket,
    connection: Connection,
  ): void {
    this.#options.onRejected?.(error, socket);
    if (!socket.writable || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    this.#discardInput(connection);
    const pending = findPending(connection);
    const running = pending.filter(({ writableEnded }) => !writableEnded);
    if (running.length > 0) {
      for (const response of running) abortResponse(response, this.#timer);
      return;
    }
    // What is buffered still arrives. An error could become a part of it.
    if (pending.length > 0) return this.#end(socket);
    this.#endWithError(socket, error);
  }

  #endWithError(socket: Socket, error: NodeJS.ErrnoException): void {
    socket.write(
      `HTTP/1.1 ${statusOfError(error)}\r\nConnection: close\r\n\r\n`,
    );
    this.#end(socket);
  }

  /** Ends a connection; its client has some time to read what was sent. */
  #end(socket: Socket): void {
    socket.end();
    const cancel = this.#timer.after(LINGER_MS, () => socket.destroy());
    socket.once("close", cancel);
  }

  #trackResponse(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (!connection) return;
    connection.requestCount += 1;
    connection.responses.add(response);
    connection.input.onRequest(request);
    const isLimitRaised = connection.maxHeadBytes < maxHeadBytes(this.#server);
    if (this.#isClosing || isLimitRaised) requestClose(response);
    response.once("close", () => {
      connection.responses.delete(response);
      connection.idleSinceMs = this.#timer.nowMs();
      connection.receivedBytesAtIdle = request.socket.bytesRead;
      if (request.socket.destroyed) return;
      // The request lives until its body has arrived, which may take long.
      if (!request.complete) releaseHead(request);
      this.#line.observe(request.socket, connection.idleSinceMs);
      connection.input.continue();
      const { isInputDiscarded } = connection;
      if (isInputDiscarded && findPending(connection).length === 0) {
        this.#end(request.socket);
      }
    });
  }

  *#responses(): Iterable<ServerResponse> {
    for (const { responses } of this.#connections.values()) yield* responses;
  }
}

/**
 * Runs `action` after the input that has arrived by now. A timer that is due
 * runs before such input, for example once a stopped process continues.
 */
function afterInput(action: () => void): void {
  setImmediate(action);
}

/** The responses that requests which have arrived completely wait for. */
function findPending({ responses }: Connection): ServerResponse[] {
  return [...responses].filter(isResponseToCompleteRequest);
}

/** Whether bytes that follow on the connection are not a part of the request. */
function isResponseToCompleteRequest(response: ServerResponse): boolean {
  return response.headersSent || response.req.complete;
}

function requestClose(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader("connection", "close");
}
