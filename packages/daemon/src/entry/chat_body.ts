import { createHash } from "node:crypto";
import { MAX_CHAT_MESSAGES } from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { BodyPieces } from "../buffering/index.ts";
import { digestContent } from "../poison/request_digest.ts";
import { createRequestError, type RequestError } from "./request_error.ts";

const CHAT_KEY_MESSAGE_COUNT = 2;

const chatBodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string() })).min(1),
  stream: z.boolean().nullish(),
  user: z.string().nullish(),
  prompt_cache_key: z.string().nullish(),
});

/** The fields of a chat request that the daemon uses. */
export type ChatBody = z.infer<typeof chatBodySchema>;

/** What the daemon uses of a chat request besides its body. */
export interface ChatSummary {
  readonly model: string;
  /** The key that all requests of one chat share. */
  readonly chatKey: string;
  readonly isFollowUpTurn: boolean;
  /** Digests of the messages that other chats may share. */
  readonly sharedMessages: readonly string[];
  readonly isStream: boolean;
}

/**
 * Parses and validates a chat request. The parsed body takes several times the
 * memory of its text, so it is not kept.
 */
export function summarizeChat(
  { pieces }: BodyPieces,
  chatHeader: string | undefined,
): Result<ChatSummary, RequestError> {
  return parseChatBody(Buffer.concat(pieces)).map((chat) => ({
    model: chat.model,
    chatKey: deriveChatKey(chat, chatHeader),
    isFollowUpTurn: isFollowUpTurn(chat),
    sharedMessages: digestSharedMessages(chat),
    isStream: chat.stream === true,
  }));
}

/** Parses and validates the body of a chat request. */
export function parseChatBody(body: Buffer): Result<ChatBody, RequestError> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString("utf8"));
  } catch {
    const message = "the body is not valid JSON; send a JSON object";
    return err(
      createRequestError(400, "invalid_json", message, { param: "body" }),
    );
  }
  const parsed = chatBodySchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  const field = issue?.path.join(".") || "body";
  const message = `field ${field}: ${issue?.message ?? "is not valid"}`;
  return err(
    createRequestError(400, "invalid_body", message, { param: field }),
  );
}

/**
 * The key that all requests of one chat share: the key that the client sends, or
 * else a digest of the first messages, which every later turn repeats.
 */
export function deriveChatKey(
  body: ChatBody,
  header: string | undefined,
): string {
  const clientKey = header ?? body.prompt_cache_key ?? body.user;
  if (clientKey) return clientKey;
  const firstMessages = JSON.stringify(
    body.messages.slice(0, CHAT_KEY_MESSAGE_COUNT),
  );
  return createHash("sha256").update(firstMessages).digest("base64url");
}

/** Whether the chat had earlier turns: it contains an assistant message. */
export function isFollowUpTurn(body: ChatBody): boolean {
  return body.messages.some((message) => message.role === "assistant");
}

/** Digests of the first messages; the last one belongs to the request itself. */
export function digestSharedMessages({ messages }: ChatBody): string[] {
  return messages.slice(0, -1).slice(0, MAX_CHAT_MESSAGES).map((message) =>
    digestContent("", Buffer.from(JSON.stringify(message)))
  );
}
