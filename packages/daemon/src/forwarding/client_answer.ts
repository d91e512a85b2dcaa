import type { ServerResponse } from "node:http";
import type { RawHeaders } from "./request_codec.ts";
import type { StreamHead, WholeAnswer } from "./target_attempt.ts";

const BODILESS_STATUSES = new Set([204, 304]);

/** The answer to one client, which is written at most once. */
export class ClientAnswer {
  readonly #outgoing: ServerResponse;
  readonly #method: string;
  #hasBegun = false;

  constructor(outgoing: ServerResponse, method: string) {
    this.#outgoing = outgoing;
    this.#method = method;
  }

  /** Whether a part of the answer was written. */
  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  /** Calls `action` once if the client leaves before its answer is whole. */
  onClientGone(action: () => void): void {
    this.#outgoing.on("close", () => {
      if (!this.#outgoing.writableFinished) action();
    });
    this.#outgoing.on("error", action);
  }

  /** Answers by the system itself. */
  refuse(status: number, reason: string, headers: RawHeaders = []): void {
    const body = Buffer.from(JSON.stringify({ error: reason }));
    this.#whole(status, [
      ...headers,
      "Content-Type",
      "application/json",
      "Content-Length",
      String(body.length),
    ], body);
  }

  /** Passes a target's whole answer on. */
  passOn(answer: WholeAnswer): void {
    const headers = [...answer.facts.headers];
    if (this.#method === "HEAD") {
      if (answer.contentLength !== undefined) {
        headers.push("Content-Length", answer.contentLength);
      }
    } else if (!answer.isFramed) this.#leaveUnframed(headers);
    else if (!BODILESS_STATUSES.has(answer.status)) {
      headers.push("Content-Length", String(answer.body.length));
    }
    this.#whole(answer.status, headers, answer.body);
  }

  /** Begins a stream. */
  begin({ status, facts, isFramed }: StreamHead): void {
    if (this.#hasBegun) return;
    this.#hasBegun = true;
    const headers = [...facts.headers];
    if (!isFramed) this.#leaveUnframed(headers);
    this.#outgoing.writeHead(status, headers);
  }

  /** Passes events on; false where the client doesn't keep up. */
  write(bytes: Buffer): boolean {
    return this.#outgoing.write(bytes);
  }

  /** Calls `action` once the client has taken what was written. */
  onDrain(action: () => void): void {
    this.#outgoing.once("drain", action);
  }

  /** Ends a stream as whole. */
  end(): void {
    this.#outgoing.end();
  }

  /** Ends a stream so that it can't be taken for whole. */
  cutOff(): void {
    this.#outgoing.destroy();
  }

  /**
   * Ends the body with the connection. A body that came so may be cut short
   * without a sign, and a length of our own would vouch for it.
   */
  #leaveUnframed(headers: string[]): void {
    this.#outgoing.useChunkedEncodingByDefault = false;
    headers.push("Connection", "close");
  }

  #whole(status: number, headers: string[], body: Buffer): void {
    if (this.#hasBegun) return;
    this.#hasBegun = true;
    this.#outgoing.writeHead(status, headers);
    this.#outgoing.end(body);
  }
}
