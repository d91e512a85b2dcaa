import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createRequestError, type RequestError } from "./request_error.ts";

const MIN_PRIORITY = 0;
const MAX_PRIORITY = 9;
const DEFAULT_PRIORITY = 5;
const MAX_DEADLINE_MS = 86_400_000;
const MAX_KEY_CHARS = 255;

const keySchema = z.string().min(1).max(MAX_KEY_CHARS);

const clientHeadersSchema = z.object({
  "authorization": z.string().optional(),
  "x-coltsfoot-team": keySchema.optional(),
  "x-coltsfoot-chat": keySchema.optional(),
  "x-coltsfoot-priority": z.coerce.number().int()
    .min(MIN_PRIORITY).max(MAX_PRIORITY).default(DEFAULT_PRIORITY),
  "x-coltsfoot-deadline-ms": z.coerce.number().int()
    .positive().max(MAX_DEADLINE_MS).optional(),
  "idempotency-key": keySchema.optional(),
});

/** The request headers that the daemon uses. */
export type ClientHeaders = z.infer<typeof clientHeadersSchema>;

const SUPPORTED_HEADERS = new Set(Object.keys(clientHeadersSchema.shape));
const RESERVED_PREFIX = "x-coltsfoot-";
/** Headers that a request may have once. */
const SINGLE_HEADERS = [...SUPPORTED_HEADERS, "host", "content-type"];

/**
 * Validates the client's headers; rejects an unknown `x-coltsfoot-` header, and
 * a header that is used and stands in several lines.
 */
export function readClientHeaders(
  incoming: IncomingMessage,
): Result<ClientHeaders, RequestError> {
  const { headersDistinct } = incoming;
  const repeated = SINGLE_HEADERS.find((name) =>
    (headersDistinct[name]?.length ?? 0) > 1
  );
  if (repeated !== undefined) {
    const message = `header ${repeated} stands in several lines; send one`;
    return err(
      createRequestError(400, "invalid_header", message, { param: repeated }),
    );
  }
  for (const name of Object.keys(incoming.headers)) {
    if (!name.startsWith(RESERVED_PREFIX)) continue;
    if (SUPPORTED_HEADERS.has(name)) continue;
    const message = `header ${name} is not known; remove it`;
    return err(
      createRequestError(400, "unknown_header", message, { param: name }),
    );
  }
  const parsed = clientHeadersSchema.safeParse(incoming.headers);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  const name = String(issue?.path[0] ?? "headers");
  const message = `header ${name}: ${issue?.message ?? "is not valid"}`;
  return err(
    createRequestError(400, "invalid_header", message, { param: name }),
  );
}
