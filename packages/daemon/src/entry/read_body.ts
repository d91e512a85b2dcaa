import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { createRequestError, type RequestError } from "./request_error.ts";

/** Reads a request body of at most `maxBytes`; rejects a larger one. */
export async function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, RequestError>> {
  const contentLengthBytes = Number(incoming.headers["content-length"] ?? 0);
  if (contentLengthBytes > maxBytes) return err(createTooLargeError(maxBytes));
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of incoming) {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) return err(createTooLargeError(maxBytes));
      chunks.push(chunk);
    }
  } catch {
    const message = "the body ended before its stated length; send it again";
    return err(createRequestError(400, "incomplete_body", message));
  }
  return ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
}

function createTooLargeError(maxBytes: number): RequestError {
  const message =
    `the body is larger than ${maxBytes} bytes, the limit of this route; shorten it`;
  return createRequestError(413, "body_too_large", message, { param: "body" });
}
