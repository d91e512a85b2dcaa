import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { createRefusal, type Refusal } from "./refusal.ts";

/** Reads a request's body up to `maxBytes`; a larger one is refused. */
export async function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Refusal>> {
  const announced = Number(incoming.headers["content-length"] ?? 0);
  if (announced > maxBytes) return err(createTooLarge(maxBytes));
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of incoming) {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) return err(createTooLarge(maxBytes));
      chunks.push(chunk);
    }
  } catch {
    const message = "the body ended before its stated length; send it again";
    return err(createRefusal(400, "incomplete_body", message));
  }
  return ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
}

function createTooLarge(maxBytes: number): Refusal {
  const message =
    `the body is larger than ${maxBytes} bytes, the limit of this route; shorten it`;
  return createRefusal(413, "body_too_large", message, { param: "body" });
}
