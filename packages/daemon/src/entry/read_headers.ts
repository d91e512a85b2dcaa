import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createRefusal, type Refusal } from "./refusal.ts";

const LOWEST_PRIORITY = 0;
const HIGHEST_PRIORITY = 9;
const DEFAULT_PRIORITY = 5;
const LONGEST_DEADLINE_MS = 86_400_000;
const LONGEST_KEY_CHARS = 255;

const keySchema = z.string().min(1).max(LONGEST_KEY_CHARS);

const clientHeadersSchema = z.object({
  "authorization": z.string().optional(),
  "x-coltsfoot-team": keySchema.optional(),
  "x-coltsfoot-chat": keySchema.optional(),
  "x-coltsfoot-priority": z.coerce.number().int()
    .min(LOWEST_PRIORITY).max(HIGHEST_PRIORITY).default(DEFAULT_PRIORITY),
  "x-coltsfoot-deadline-ms": z.coerce.number().int()
    .positive().max(LONGEST_DEADLINE_MS).optional(),
  "idempotency-key": keySchema.optional(),
});

/** The headers of a caller that the fleet acts on. */
export type ClientHeaders = z.infer<typeof clientHeadersSchema>;

const KNOWN_OWN_HEADERS = new Set(Object.keys(clientHeadersSchema.shape));
const OWN_PREFIX = "x-coltsfoot-";

/** Checks the caller's headers; an unknown one of ours is refused too. */
export function readClientHeaders(
  incoming: IncomingMessage,
): Result<ClientHeaders, Refusal> {
  for (const name of Object.keys(incoming.headers)) {
    if (!name.startsWith(OWN_PREFIX)) continue;
    if (KNOWN_OWN_HEADERS.has(name)) continue;
    const message = `header ${name} is not known; remove it`;
    return err(createRefusal(400, "unknown_header", message, { param: name }));
  }
  const parsed = clientHeadersSchema.safeParse(incoming.headers);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  const name = String(issue?.path[0] ?? "headers");
  const message = `header ${name}: ${issue?.message ?? "is not valid"}`;
  return err(createRefusal(400, "invalid_header", message, { param: name }));
}
