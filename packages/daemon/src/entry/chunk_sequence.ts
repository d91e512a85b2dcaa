import type { EventSourceMessage } from "eventsource-parser";
import { z } from "zod";

/**
 * How a chunk relates to the chunks relayed so far. `foreign`: it is invalid or
 * belongs to another response. `whole`: it is the end marker of a complete
 * response.
 */
export type ChunkCheck = "next" | "repeated" | "gap" | "foreign" | "whole";

const chunkSchema = z.looseObject({
  id: z.string(),
  choices: z.array(z.looseObject({
    delta: z.looseObject({ content: z.string().nullish() }).optional(),
    finish_reason: z.string().nullish(),
  })),
  usage: z.looseObject({ completion_tokens: z.number() }).nullish(),
});

/**
 * Validates the chunks of one response over all attempts. The event id of a
 * chunk, if the engine sends one, is the index of its token and reveals repeats
 * and gaps. The usage in the last chunk reveals whether tokens are missing.
 */
export class ChunkSequence {
  readonly #completionId: string;
  #relayedTokens = 0;
  #hasFinished = false;
  #hasUnindexedToken = false;

  constructor(requestId: string) {
    this.#completionId = `chatcmpl-${requestId}`;
  }

  get relayedTokens(): number {
    return this.#relayedTokens;
  }

  /**
   * Whether another target can resume after the relayed tokens. A token without
   * an index may have been a repeat, so the token count would be unreliable.
   */
  get isResumable(): boolean {
    return !this.#hasUnindexedToken;
  }

  /** Classifies an event and counts its token if it is the next one. */
  check(event: EventSourceMessage): ChunkCheck {
    const chunk = parseChunk(event.data);
    if (!chunk || chunk.id !== this.#completionId) return "foreign";
    const choice = chunk.choices[0];
    const isToken = Boolean(choice?.delta?.content);
    if (isToken) {
      const index = readIndex(event.id);
      const indexCheck = this.#checkIndex(index);
      if (indexCheck !== "next") return indexCheck;
      if (index === undefined) this.#hasUnindexedToken = true;
      this.#relayedTokens += 1;
    }
    if (choice?.finish_reason) {
      if (this.#hasFinished) return "repeated";
      if (!this.#matchesUsage(chunk.usage?.completion_tokens)) return "gap";
      this.#hasFinished = true;
    }
    return "next";
  }

  /** Checks the end marker, which is valid only after the last chunk. */
  checkEnd(): ChunkCheck {
    return this.#hasFinished ? "whole" : "gap";
  }

  #checkIndex(index: number | undefined): ChunkCheck {
    if (index === undefined || index === this.#relayedTokens) return "next";
    return index < this.#relayedTokens ? "repeated" : "gap";
  }

  #matchesUsage(completionTokens: number | undefined): boolean {
    if (completionTokens === undefined) return true;
    return completionTokens === this.#relayedTokens;
  }
}

function parseChunk(data: string): z.infer<typeof chunkSchema> | undefined {
  try {
    return chunkSchema.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
}

/** The index of a token, if the engine numbers its events. */
function readIndex(eventId: string | undefined): number | undefined {
  if (eventId === undefined || eventId === "") return undefined;
  const index = Number(eventId);
  return Number.isInteger(index) ? index : undefined;
}
