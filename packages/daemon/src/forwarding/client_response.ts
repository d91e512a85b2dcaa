import type { ServerResponse } from "node:http";
import {
  type BodyDelimiter,
  findBodyDelimiter,
  provesCompleteBody,
  type TimerService,
} from "@coltsfootford/core";
import { type HeldBytes, ResponseWriter } from "../buffering/index.ts";
import { abortResponse } from "../connections/index.ts";
import { findHeader } from "./http_headers.ts";
import type { RawHeaders } from "./request_codec.ts";
import type { BufferedResponse, ResponseHead } from "./attempt_types.ts";

/** The response to one client. Only the first response is written. */
export class ClientResponse {
  readonly #outgoing: ServerResponse;
  readonly #method: string;
  readonly #timer: TimerService;
  readonly #writer: ResponseWriter;
  /** Charged for what is buffered for the client; released at the end. */
  readonly held: HeldBytes;
  #hasStarted = false;
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
      if (this.#hasStarted) this.abort();
    });
  }

  /** What marks the end of the response; undefined before its start. */
  get delimiter(): BodyDelimiter | undefined {
    return this.#delimiter;
  }

  /** Whether a part of the response has been written. */
  get hasStarted(): boolean {
    return this.#hasStarted;
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

  /**
   * Whether the end of a stream that the target delimited this way may end the
   * response, which declares no more than the target proved.
   */
  canEndAfter(delimiter: BodyDelimiter): boolean {
    return provesCompleteBody(delimiter) || this.#delimiter === "close";
  }

  /** Relays a target's buffered response. */
  relayResponse(response: BufferedResponse): void {
    const { status, delimiter, contentLength, body } = response;
    const headers = [...response.metadata.headers];
    if (!provesCompleteBody(delimiter)) this.#delimitByConnectionClose(headers);
    else if (delimiter !== "none") {
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
   * one, unless the target's own framing can't tell them apart.
   */
  startStream(
    { status, metadata, delimiter, contentLength }: ResponseHead,
  ): void {
    if (this.#hasStarted) return;
    const headers = [...metadata.headers];
    if (!provesCompleteBody(delimiter)) this.#delimitByConnectionClose(headers);
    else if (contentLength !== undefined) {
      headers.push("Content-Length", contentLength);
    }
    this.#writeHead(status, headers);
  }

  /** Writes events; returns false if the client reads too slowly. */
  write(bytes: Buffer): boolean {
    return this.#writer.write(bytes);
  }

  /** Calls `action` once the write buffer is empty. */
  onDrain(action: () => void): void {
    this.#writer.onDrain(action);
  }

  /** Ends a stream as complete. */
  end(): void {
    this.#writer.end();
  }

  /** Makes sure that a complete response arrives if the connection ends now. */
  flush(): void {
    this.#writer.flush();
  }

  /** Ends the connection, so that the client detects a truncated stream. */
  abort(): void {
    this.#writer.stop();
    abortResponse(this.#outgoing, this.#timer);
  }

  /**
   * Marks the end of the body by closing the connection. A target's body that
   * was delimited this way may be truncated undetected; a length or a last chunk
   * would declare it complete.
   */
  #delimitByConnectionClose(headers: string[]): void {
    this.#outgoing.useChunkedEncodingByDefault = false;
    headers.push("Connection", "close");
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
      contentLength: findHeader(headers, "content-length"),
    });
  }
}
