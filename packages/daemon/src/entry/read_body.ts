import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { PieceBuffer } from "../buffering/index.ts";
import { createEvictionError, type RequestMemory } from "./request_memory.ts";
import { createRequestError, type RequestError } from "./request_error.ts";

/**
 * Reads the body of a request, of at most `maxBytes`; rejects a larger one, and
 * one whose bytes the memory budget takes back.
 */
export function readBody(
  incoming: IncomingMessage,
  memory: RequestMemory,
  maxBytes: number,
): Promise<Result<PieceBuffer, RequestError>> {
  const contentLengthBytes = Number(incoming.headers["content-length"] ?? 0);
  if (contentLengthBytes > maxBytes) {
    return Promise.resolve(err(createTooLargeError(maxBytes)));
  }
  const { body } = memory;
  return new Promise((resolve) => {
    const finish = (result: Result<PieceBuffer, RequestError>) => {
      incoming.off("data", onData);
      // Reading on would only make garbage until the connection is closed.
      if (result.isErr()) incoming.pause();
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      if (body.length + chunk.length <= maxBytes) {
        return body.append(chunk);
      }
      const error = createTooLargeError(maxBytes);
      finish(err({ ...error, closesConnection: true }));
    };
    const finishIncomplete = () => {
      const message = "the body ended before its stated length; send it again";
      finish(err(createRequestError(400, "incomplete_body", message)));
    };
    body.held.onEvicted(() => finish(err(createEvictionError())));
    incoming.on("data", onData);
    incoming.on("end", () => finish(ok(body)));
    incoming.on("error", finishIncomplete);
    incoming.on("close", finishIncomplete);
  });
}

function createTooLargeError(maxBytes: number): RequestError {
  const message =
    `the body is larger than ${maxBytes} bytes, the limit of this route; shorten it`;
  return createRequestError(413, "body_too_large", message, { param: "body" });
}
