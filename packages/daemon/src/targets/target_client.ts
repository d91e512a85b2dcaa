import { Readable } from "node:stream";
import { Client, type Dispatcher, Pool } from "undici";
import { err, ok, type Result } from "neverthrow";
import { createStepError, type StepError } from "@coltsfootford/core";
import { type BodyBytes, bodyPieces } from "../buffering/index.ts";
import type { TargetView } from "../blackboard/index.ts";
import { createBoundedConnector } from "./bounded_connector.ts";
import { checkHeads } from "./check_heads.ts";

const CONNECT_TIMEOUT_MS = 2_000;
const CONNECTIONS_PER_TARGET = 512;
const KEEP_ALIVE_MS = 4_000;
/** Largest body that is read; a longer one fails the request. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
/** Most bytes that are read for one request, framing included. */
const MAX_RECEIVED_BYTES = 2 * MAX_RESPONSE_BYTES;
/** Most interim responses (status 1xx) that are read for one request. */
const MAX_INTERIM_RESPONSES = 256;
const CONNECT = createBoundedConnector(CONNECT_TIMEOUT_MS, MAX_RECEIVED_BYTES);
const STEP = "target.request";

/**
 * `not-sent`: no byte was written; `maybe-sent`: the target may have received
 * the request.
 */
export type TargetErrorKind = "not-sent" | "maybe-sent";

/** One request to a target. */
export interface TargetRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: BodyBytes;
  readonly signal: AbortSignal;
  /**
   * Opens a new connection for a request that must not execute twice, instead
   * of reusing an idle one.
   */
  readonly usesFreshConnection: boolean;
}

/** Connect errors, which occur before the request is written. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Sends requests to targets over pooled connections, without retries. */
export class TargetClient {
  readonly #pools = new Map<string, Pool>();

  /** Sends one request and resolves with the head of its response. */
  async send(
    target: TargetView,
    request: TargetRequest,
  ): Promise<Result<Dispatcher.ResponseData, StepError<TargetErrorKind>>> {
    const origin = `http://${formatHost(target.host)}:${target.port}`;
    const dispatcher = request.usesFreshConnection
      ? new Client(origin, {
        connect: CONNECT,
        maxResponseSize: MAX_RESPONSE_BYTES,
      })
      : this.#poolOf(origin);
    try {
      const response = await dispatcher.compose(checkHeads).request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        ...framedBody(request),
        signal: request.signal,
        headersTimeout: 0,
        bodyTimeout: 0,
        idempotent: false,
        reset: request.usesFreshConnection,
        onInfo: limitInterimResponses(),
      });
      return ok(response);
    } catch (cause) {
      return err(describeFailure(target, cause));
    } finally {
      if (request.usesFreshConnection) closeQuietly(dispatcher);
    }
  }

  /** Closes every connection once its response has ended. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #poolOf(origin: string): Pool {
    const existing = this.#pools.get(origin);
    if (existing) return existing;
    const pool = new Pool(origin, {
      connections: CONNECTIONS_PER_TARGET,
      connect: CONNECT,
      keepAliveTimeout: KEEP_ALIVE_MS,
      pipelining: 1,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
    this.#pools.set(origin, pool);
    return pool;
  }
}

/** Returns a listener that fails a request after too many interim responses. */
function limitInterimResponses(): () => void {
  let count = 0;
  return () => {
    count += 1;
    if (count > MAX_INTERIM_RESPONSES) {
      throw new Error(`more than ${MAX_INTERIM_RESPONSES} interim responses`);
    }
  };
}

/** The body, with its length if it is sent in several pieces. */
function framedBody(
  { headers, body }: TargetRequest,
): Pick<Dispatcher.RequestOptions, "headers" | "body"> {
  const pieces = bodyPieces(body);
  if (pieces.length <= 1) return { headers, body: pieces[0] ?? null };
  return {
    headers: { ...headers, "content-length": String(body.length) },
    body: Readable.from(pieces, { objectMode: false }),
  };
}

function formatHost(host: string): string {
  return host.includes(":") ? `[${host}]` : host;
}

function describeFailure(
  target: TargetView,
  cause: unknown,
): StepError<TargetErrorKind> {
  const code = String((cause as { code?: unknown }).code ?? "");
  const kind = CONNECT_ERROR_CODES.has(code) ? "not-sent" : "maybe-sent";
  const message = kind === "not-sent"
    ? "the target cannot be reached"
    : "the connection failed after the request may have been sent";
  return createStepError(kind, STEP, message, { peer: target.name, cause });
}

function closeQuietly(dispatcher: Dispatcher): void {
  // `close` waits for the response in progress, so it must not be awaited here.
  dispatcher.close().catch(() => undefined);
}
