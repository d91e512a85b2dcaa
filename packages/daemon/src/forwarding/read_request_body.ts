import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { TimerService } from "@coltsfootford/core";
import type { PieceBuffer } from "../buffering/index.ts";

/** Why the body of a request could not be read. */
export type BodyReadError =
  | "too-large"
  | "too-slow"
  | "client-gone"
  | "evicted";

/** Limits on a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  readonly timer: TimerService;
}

/**
 * Buffers the complete body, so that an attempt never waits for its client.
 * Releases `buffer` if the body can't be read.
 */
export async function readRequestBody(
  incoming: IncomingMessage,
  buffer: PieceBuffer,
  limits: BodyLimits,
): Promise<Result<PieceBuffer, BodyReadError>> {
  const { headers } = incoming;
  const declaredBytes = Number(headers["content-length"] ?? 0);
  const isChunked = headers["transfer-encoding"] !== undefined;
  if (declaredBytes === 0 && !isChunked) return ok(buffer);
  const error = declaredBytes > limits.maxBytes
    ? "too-large"
    : await readChunks(incoming, buffer, limits);
  if (error === undefined) return ok(buffer);
  buffer.release();
  return err(error);
}

/** Reads up to the end of the body; resolves with the reason of a failure. */
function readChunks(
  incoming: IncomingMessage,
  buffer: PieceBuffer,
  { maxBytes, timeoutMs, timer }: BodyLimits,
): Promise<BodyReadError | undefined> {
  return new Promise((resolve) => {
    const finish = (error?: BodyReadError) => {
      cancelTimer();
      incoming.off("data", onData);
      // What still arrives is discarded until the connection is closed.
      incoming.resume();
      resolve(error);
    };
    const onData = (chunk: Buffer) => {
      if (buffer.length + chunk.length > maxBytes) return finish("too-large");
      buffer.append(chunk);
    };
    const cancelTimer = timer.after(timeoutMs, () => finish("too-slow"));
    buffer.held.onEvicted(() => finish("evicted"));
    incoming.on("data", onData);
    incoming.on("end", () => finish());
    incoming.on("error", () => finish("client-gone"));
    incoming.on("close", () => finish("client-gone"));
  });
}
