import { type IncomingHttpHeaders, request } from "node:http";
import type { CancelTimer, TimerService } from "@coltsfootford/core";
import { CheckedAgent, keepAllLines } from "../connections/index.ts";

/** The limits of an `HttpClient`. */
export interface HttpClientOptions {
  /** Concurrent connections to one server. */
  readonly maxConnections: number;
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection is closed. */
  readonly idleTimeoutMs: number;
}

/** A request with a JSON body, or without one. */
export interface HttpRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Sent as JSON. */
  readonly body?: unknown;
  /**
   * Longest time until the head of the response, and longest pause between two
   * parts of its body.
   */
  readonly silenceTimeoutMs: number;
  /** Longest time until the end of the response, with the wait to be sent. */
  readonly totalTimeoutMs: number;
  readonly signal?: AbortSignal | undefined;
  /** Called for each part of the response's body. */
  readonly onBytes?: (() => void) | undefined;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/**
 * Largest response. Pages, snapshots and histories of the store are smaller, and
 * a daemon's memory holds several of this size.
 */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

const JSON_HEADERS = { "content-type": "application/json" };

/**
 * Exchanges small requests and responses over keep-alive connections. It uses
 * the HTTP client of Node.js, as the forwarding path does: a second HTTP library
 * would take a fifth of a daemon's startup time.
 */
export class HttpClient {
  readonly #options: HttpClientOptions;
  readonly #timer: TimerService;
  readonly #agent: CheckedAgent;
  #isClosed = false;

  constructor(options: HttpClientOptions, timer: TimerService) {
    this.#options = options;
    this.#timer = timer;
    this.#agent = new CheckedAgent({
      keepAlive: true,
      maxSockets: options.maxConnections,
      timeout: options.idleTimeoutMs,
    });
  }

  /** Resolves with the complete response; rejects with the cause if there is none. */
  send(exchange: HttpRequest): Promise<HttpResponse> {
    if (this.#isClosed) {
      return Promise.reject(new Error("the client is closed"));
    }
    const timers = new ExchangeTimers(this.#timer);
    return this.#exchange(exchange, timers).finally(() => timers.cancel());
  }

  /** Ends all requests and closes the connections. */
  close(): void {
    this.#isClosed = true;
    this.#agent.destroy();
  }

  /**
   * Closes the idle connections to a server. Where one has gone silent, requests
   * on the others would wait for their time-out as well.
   */
  #closeIdle(host: string, port: number): void {
    const idle = this.#agent.freeSockets[this.#agent.getName({ host, port })];
    for (const socket of [...idle ?? []]) socket.destroy();
  }

  #exchange(
    exchange: HttpRequest,
    timers: ExchangeTimers,
  ): Promise<HttpResponse> {
    const { host, port, method, path, body, signal, onBytes } = exchange;
    const { connectTimeoutMs } = this.#options;
    const text = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve, reject) => {
      const outgoing = request({
        agent: this.#agent,
        host,
        port,
        method,
        path,
        ...(signal ? { signal } : {}),
        ...(text === undefined ? {} : {
          headers: {
            ...JSON_HEADERS,
            "content-length": Buffer.byteLength(text),
          },
        }),
      });
      keepAllLines(outgoing);
      const abort = (reason: string) => () =>
        outgoing.destroy(new Error(reason));
      const abortSilent = () => {
        this.#closeIdle(host, port);
        abort("no bytes in time")();
      };
      const restartSilence = () =>
        timers.restart(
          "silence",
          exchange.silenceTimeoutMs,
          abortSilent,
        );
      timers.restart(
        "total",
        exchange.totalTimeoutMs,
        abort("no complete response in time"),
      );
      outgoing.on("error", reject);
      outgoing.on("socket", (socket) => {
        if (!socket.connecting) return restartSilence();
        timers.restart("silence", connectTimeoutMs, abort("no connection"));
        socket.once("connect", restartSilence);
      });
      outgoing.on("response", (response) => {
        const chunks: Buffer[] = [];
        let sizeBytes = 0;
        restartSilence();
        response.on("data", (chunk: Buffer) => {
          sizeBytes += chunk.length;
          if (sizeBytes > MAX_RESPONSE_BYTES) {
            chunks.length = 0;
            return abort(`more than ${MAX_RESPONSE_BYTES} bytes`)();
          }
          chunks.push(chunk);
          restartSilence();
          onBytes?.();
        });
        response.on("error", reject);
        response.on("end", () => {
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            text: Buffer.concat(chunks).toString("utf8"),
          });
        });
      });
      outgoing.end(text);
    });
  }
}

/** The running timers of one exchange, by purpose. */
class ExchangeTimers {
  readonly #timer: TimerService;
  readonly #cancels = new Map<string, CancelTimer>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  restart(purpose: string, afterMs: number, onTimeout: () => void): void {
    this.#cancels.get(purpose)?.();
    this.#cancels.set(purpose, this.#timer.after(afterMs, onTimeout));
  }

  cancel(): void {
    for (const cancel of this.#cancels.values()) cancel();
  }
}
