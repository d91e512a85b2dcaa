import { z } from "zod";
import { messageSchema } from "./prompt.ts";

/** The fields of a chat completion request that an engine reads. */
export const chatRequestSchema = z.object({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.int().positive().nullish(),
  max_completion_tokens: z.int().positive().nullish(),
});

export type ChatRequest = z.infer<typeof chatRequestSchema>;

const DEFAULT_PRIORITY = 5;

/** The headers of a chat request that an engine reads. */
export interface ChatHeaders {
  readonly requestId: string;
  readonly team: string;
  readonly chat: string;
  readonly priority: number;
  readonly resumeAfterTokens: number;
}

let anonymousRequests = 0;

/** Reads the headers; generates an id for a request without one. */
export function readChatHeaders(
  header: (name: string) => string | undefined,
): ChatHeaders {
  return {
    requestId: header("x-request-id") ?? `anonymous-${++anonymousRequests}`,
    team: header("x-coltsfoot-team") ?? "",
    chat: header("x-coltsfoot-chat") ?? "",
    priority: readCount(header("x-coltsfoot-priority"), DEFAULT_PRIORITY),
    resumeAfterTokens: readCount(
      header("x-coltsfoot-resume-after-tokens"),
      0,
    ),
  };
}

function readCount(text: string | undefined, fallback: number): number {
  const value = Number(text ?? fallback);
  return Number.isInteger(value) && value >= 0 ? value : fallback;
}
