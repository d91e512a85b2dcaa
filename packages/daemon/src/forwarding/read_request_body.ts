import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { TimerService } from "@coltsfootford/core";

/** Why the body of a request could not be read. */
export type BodyReadError = "too-large" | "too-slow" | "client-gone";

/** Limits on a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  readonly timer: TimerService;
}

const EMPTY = Buffer.alloc(0);

/** Buffers the complete body, so that an attempt never waits for its client. */
export function readRequestBody(
  incoming: IncomingMessage,
  { maxBytes, timeoutMs, timer }: BodyLimits,
): Promise<Result<Buffer, BodyReadError>> {
  const { headers } = incoming;
  const declaredBytes = Number(headers["content-length"] ?? 0);
  const isChunked = headers["transfer-encoding"] !== undefined;
  if (declaredBytes > maxBytes) return Promise.resolve(err("too-large"));
  if (declaredBytes === 0 && !isChunked) return Promise.resolve(ok(EMPTY));
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const cancelTimer = timer.after(timeoutMs, () => finish(err("too-slow")));
    const finish = (result: Result<Buffer, BodyReadError>) => {
      cancelTimer();
      resolve(result);
    };
    incoming.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) return finish(err("too-large"));
      chunks.push(chunk);
    });
    incoming.on("end", () => finish(ok(Buffer.concat(chunks))));
    incoming.on("error", () => finish(err("client-gone")));
    incoming.on("close", () => finish(err("client-gone")));
  });
}
