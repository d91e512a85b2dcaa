import type { ServerResponse } from "node:http";
import {
  type BodyDelimiter,
  findBodyDelimiter,
  type TimerService,
} from "@coltsfootford/core";
import {
  type HeldBytes,
  PieceBuffer,
  ResponseWriter,
} from "../buffering/index.ts";
import { abortResponse } from "../connections/index.ts";
import { HeaderLines } from "./http_headers.ts";
import type { RawHeaders } from "./request_codec.ts";
import type { BufferedResponse, ResponseHead } from "./attempt_types.ts";

const STATUS_BAD_GATEWAY = 502;

/** A stream for a client that does not understand chunks. */
interface WithheldStream {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: PieceBuffer;
}

/**
 * The response to one client. Only the first response is written.
 *
 * Its body has a length or is sent in chunks, and never ends with the
 * connection: the kernel ends the connections of a killed daemon as if their
 * responses were complete (RFC 9112, section 8).
 */
export class ClientResponse {
  readonly #outgoing: ServerResponse;
  readonly #method: string;
  readonly #timer: TimerService;
  readonly #writer: ResponseWriter;
  /** Charged for what is buffered for the client; released at the end. */
  readonly held: HeldBytes;
  #hasStarted = false;
  #withheld: WithheldStream | undefined;
  #delimiter: BodyDelimiter | undefined;

  constructor(
    outgoing: ServerResponse,
    method: string,
    timer: TimerService,
    held: HeldBytes,
  ) {
    this.#outgoing = outgoing;
    this.#method = method;
    this.#timer = timer;
    this.held = held;
    this.#writer = new ResponseWriter(outgoing, held, timer, () => {
      this.abort();
    });
    held.onEvicted(() => {
      if (this.hasStarted) this.abort();
    });
  }

  /** What marks the end of the response; undefined before its start. */
  get delimiter(): BodyDelimiter | undefined {
    return this.#delimiter;
  }

  /** Whether a part of the response has been written, or is withheld. */
  get hasStarted(): boolean {
    return this.#hasStarted || this.#withheld !== undefined;
  }

  /** Calls `action` once if the client disconnects before the response ends. */
  onDisconnect(action: () => void): void {
    this.#outgoing.on("close", () => {
      if (!this.#outgoing.writableFinished) action();
    });
    this.#outgoing.on("error", action);
  }

  /** Sends an error response that the daemon generates itself. */
  reject(status: number, reason: string, headers: RawHeaders = []): void {
    const body = Buffer.from(JSON.stringify({ error: reason }));
    this.#sendBuffered(status, [
      ...headers,
      "Content-Type",
      "application/json",
      "Content-Length",
      String(body.length),
    ], [body]);
  }

  /** Relays a target's buffered response. */
  relayResponse(response: BufferedResponse): void {
    const { status, delimiter, contentLength, body } = response;
    const headers = [...response.metadata.headers];
    if (delimiter !== "none") {
      headers.push("Content-Length", String(body.length));
    } else if (this.#method === "HEAD" && contentLength !== undefined) {
      headers.push("Content-Length", contentLength);
    }
    const { pieces } = body;
    body.clear();
    this.#sendBuffered(status, headers, pieces);
  }

  /**
   * Sends the head of a streamed response, unless one has been sent. The stream
   * is sent in chunks, so that a client can tell a broken stream from a complete
   * one. A client that does not understand chunks gets the complete stream with
   * its length.
   */
  startStream(
    { status, metadata, delimiter, contentLength }: ResponseHead,
  ): void {
    if (this.hasStarted) return;
    const headers = [...metadata.headers];
    if (contentLength !== undefined) {
      headers.push("Content-Length", contentLength);
    } else if (
      delimiter !== "none" && !this.#outgoing.useChunkedEncodingByDefault
    ) {
      this.#withheld = { status, headers, body: new PieceBuffer(this.held) };
      return;
    }
    this.#writeHead(status, headers);
  }

  /** Writes events; returns false if the client reads too slowly. */
  write(bytes: Buffer): boolean {
    if (!this.#withheld) return this.#writer.write(bytes);
    this.#withheld.body.append(bytes);
    return true;
  }

  /** Calls `action` once the write buffer is empty. */
  onDrain(action: () => void): void {
    this.#writer.onDrain(action);
  }

  /** Ends a stream as complete. */
  end(): void {
    if (!this.#withheld) return this.#writer.end();
    const { status, headers, body } = this.#withheld;
    this.#withheld = undefined;
    const { pieces, length } = body;
    body.clear();
    const framing = ["Content-Length", String(length)];
    this.#sendBuffered(status, [...headers, ...framing], pieces);
  }

  /** Makes sure that a complete response arrives if the connection ends now. */
  flush(): void {
    this.#writer.flush();
  }

  /** Ends the connection, so that the client detects a truncated stream. */
  abort(): void {
    if (this.#withheld) {
      this.#withheld.body.clear();
      this.#withheld = undefined;
      return this.reject(STATUS_BAD_GATEWAY, "stream broken off");
    }
    this.#writer.stop();
    abortResponse(this.#outgoing, this.#timer);
  }

  #sendBuffered(
    status: number,
    headers: string[],
    pieces: readonly Buffer[],
  ): void {
    if (this.#hasStarted) return;
    this.#writeHead(status, headers);
    for (const piece of pieces) this.#writer.write(piece);
    this.#writer.end();
  }

  #writeHead(status: number, headers: string[]): void {
    this.#outgoing.writeHead(status, headers);
    this.#hasStarted = true;
    this.#delimiter = findBodyDelimiter({
      method: this.#method,
      status,
      transferEncoding: this.#outgoing.chunkedEncoding ? "chunked" : undefined,
      contentLength: new HeaderLines(headers).single("content-length"),
    });
  }
}
