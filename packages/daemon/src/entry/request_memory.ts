import type { Result } from "neverthrow";
import {
  type ByteHoldings,
  type HeldBytes,
  PieceBuffer,
} from "../buffering/index.ts";
import { createRequestError, type RequestError } from "./request_error.ts";

const RETRY_AFTER_MS = 1_000;

/** What the daemon holds for one request until it has ended. */
export class RequestMemory {
  /** The body of the request. */
  readonly body: PieceBuffer;
  readonly #holdings: ByteHoldings;
  readonly requestId: string;
  readonly #evictionActions: (() => void)[] = [];

  constructor(holdings: ByteHoldings, requestId: string) {
    this.#holdings = holdings;
    this.requestId = requestId;
    this.body = new PieceBuffer(holdings.open("request", requestId));
    this.body.held.onEvicted(() => {
      this.body.clear();
      this.#onEvicted();
    });
  }

  /** Calls `action` if the body, or a response in progress, is evicted. */
  onEvicted(action: () => void): void {
    this.#evictionActions.push(action);
  }

  /** Opens a buffer for a response; its eviction ends the request. */
  openResponse(): PieceBuffer {
    const held = this.#holdings.open("response", this.requestId);
    const buffer = new PieceBuffer(held);
    held.onEvicted(() => {
      buffer.clear();
      this.#onEvicted();
    });
    return buffer;
  }

  /** Opens a holding for what the client has not read; its owner releases it. */
  openOutput(): HeldBytes {
    return this.#holdings.open("response", this.requestId);
  }

  /** The result that the client receives: an eviction explains a `not-run`. */
  explain(result: Result<void, RequestError>): Result<void, RequestError> {
    if (!this.body.held.isEvicted) return result;
    return result.mapErr((error) =>
      error.outcome === "not-run" ? createEvictionError() : error
    );
  }

  /** Releases the body of the request. */
  release(): void {
    this.body.release();
  }

  #onEvicted(): void {
    for (const action of this.#evictionActions) action();
  }
}

/** The error of a request whose body the memory budget has taken back. */
export function createEvictionError(): RequestError {
  const message =
    "the daemon holds too many bytes for its clients; send the request again later";
  return createRequestError(503, "memory_exhausted", message, {
    retryAfterMs: RETRY_AFTER_MS,
    closesConnection: true,
  });
}
