import { createHash } from "node:crypto";
import { z } from "zod";

const CHARACTERS_PER_TOKEN = 4;
const HASH_HEX_DIGITS = 16;

/** One message of a chat; other fields are not part of the prompt. */
export const messageSchema = z.object({
  role: z.string().min(1),
  content: z.union([z.string(), z.array(z.unknown()), z.null()]).optional(),
});

export type Message = z.infer<typeof messageSchema>;

/** A prefix of a chat that ends with one of its messages. */
export interface Prefix {
  readonly hash: string;
  /** Hash of the prefix without its last message; empty for the first one. */
  readonly parentHash: string;
  /** Tokens of the last message of the prefix. */
  readonly tokens: number;
}

/** The text of a message for the token count and the prefix hash. */
function textOf(message: Message): string {
  if (typeof message.content === "string") return message.content;
  return JSON.stringify(message.content ?? "");
}

/** Estimates the tokens of a message from its length; at least one. */
export function countTokens(message: Message): number {
  return Math.max(1, Math.ceil(textOf(message).length / CHARACTERS_PER_TOKEN));
}

/**
 * Lists the prefixes of a chat, shortest first. The hash of a prefix includes
 * the hash of its parent.
 */
export function listPrefixes(messages: readonly Message[]): Prefix[] {
  let parentHash = "";
  return messages.map((message) => {
    const hash = createHash("sha256")
      .update(`${parentHash}\n${message.role}\n${textOf(message)}`)
      .digest("hex")
      .slice(0, HASH_HEX_DIGITS);
    const prefix = { hash, parentHash, tokens: countTokens(message) };
    parentHash = hash;
    return prefix;
  });
}
