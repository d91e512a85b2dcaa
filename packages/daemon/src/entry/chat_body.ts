import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createRefusal, type Refusal } from "./refusal.ts";

const CHAT_KEY_MESSAGES = 2;

const chatBodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string() })).min(1),
  stream: z.boolean().nullish(),
  user: z.string().nullish(),
  prompt_cache_key: z.string().nullish(),
});

/** The parts of a chat request that the fleet acts on. */
export type ChatBody = z.infer<typeof chatBodySchema>;

/** Parses and checks the body of a chat request. */
export function parseChatBody(body: Buffer): Result<ChatBody, Refusal> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString("utf8"));
  } catch {
    const message = "the body is not valid JSON; send a JSON object";
    return err(createRefusal(400, "invalid_json", message, { param: "body" }));
  }
  const parsed = chatBodySchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  const field = issue?.path.join(".") || "body";
  const message = `field ${field}: ${issue?.message ?? "is not valid"}`;
  return err(createRefusal(400, "invalid_body", message, { param: field }));
}

/**
 * The key that returning requests of one chat share: what the caller gives,
 * else a digest of the first messages, which a returning chat repeats.
 */
export function deriveChatKey(
  body: ChatBody,
  header: string | undefined,
): string {
  const given = header ?? body.prompt_cache_key ?? body.user;
  if (given) return given;
  const first = JSON.stringify(body.messages.slice(0, CHAT_KEY_MESSAGES));
  return createHash("sha256").update(first).digest("base64url");
}

/** Whether the chat had earlier turns: an answer stands among its messages. */
export function isReturning(body: ChatBody): boolean {
  return body.messages.some((message) => message.role === "assistant");
}
