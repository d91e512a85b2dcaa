import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import {
  headCostBytes,
  type HeldBytes,
  HeldPart,
  partialHeadCostBytes,
} from "../buffering/index.ts";
import { countPartialStrings } from "../connections/index.ts";
import type { RawHeaders } from "./request_codec.ts";

/** Longest names and values, in total, of the head of a response, in bytes. */
export const MAX_RESPONSE_HEAD_BYTES = 16 * 1024;

/** The memory that the head of a response takes, as its bytes arrive. */
export class ResponseHeadHolding {
  readonly #part: HeldPart;
  #receivedBytes = 0;
  #isPartial = true;

  constructor(held: HeldBytes) {
    this.#part = new HeldPart(held);
  }

  /** Charges what the parser keeps, unless the whole head has arrived. */
  onReceived(socket: Socket, bytes: number): void {
    if (!this.#isPartial) return;
    this.#receivedBytes += bytes;
    const strings = countPartialStrings(socket);
    this.#part.resize(partialHeadCostBytes(this.#receivedBytes, strings));
  }

  /** Charges the whole head. */
  onHead(headers: RawHeaders): void {
    this.#isPartial = false;
    this.#part.resize(headCostBytes(headers));
  }

  release(): void {
    this.#isPartial = false;
    this.#part.resize(0);
  }
}

/** Calls `onFailed` with the cause for an error, and once a request is closed. */
export function observeFailure(
  request: ClientRequest,
  onFailed: (cause: string) => void,
): void {
  request.on("error", ({ code, message }: NodeJS.ErrnoException) => {
    const isTooLong = code === "HPE_HEADER_OVERFLOW";
    onFailed(
      isTooLong
        ? `answer with a head over ${MAX_RESPONSE_HEAD_BYTES} bytes`
        : message,
    );
  });
  request.on("close", () => onFailed("connection closed"));
}
