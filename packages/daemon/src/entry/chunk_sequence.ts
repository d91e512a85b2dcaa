import type { EventSourceMessage } from "eventsource-parser";
import { z } from "zod";

/** What a chunk of a stream is, against what was passed on so far. */
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
 * Follows the chunks of one answer over all its tries. The event id of a chunk,
 * where the engine sends one, is the index of its token and shows a repeat or
 * a gap; the usage in the last chunk shows whether the answer is whole.
 */
export class ChunkSequence {
  readonly #answerId: string;
  #relayedTokens = 0;
  #hasFinished = false;
  #hasUnplacedToken = false;

  constructor(requestId: string) {
    this.#answerId = `chatcmpl-${requestId}`;
  }

  get relayedTokens(): number {
    return this.#relayedTokens;
  }

  /**
   * Whether another target can go on after what was relayed. A token without
   * an index may have been a repeat, so the count of tokens may be wrong.
   */
  get isResumable(): boolean {
    return !this.#hasUnplacedToken;
  }

  /** Checks one event and counts its token where it is the next one. */
  check(event: EventSourceMessage): ChunkCheck {
    const chunk = parseChunk(event.data);
    if (!chunk || chunk.id !== this.#answerId) return "foreign";
    const choice = chunk.choices[0];
    const isToken = Boolean(choice?.delta?.content);
    if (isToken) {
      const index = readIndex(event.id);
      const order = this.#compareIndex(index);
      if (order !== "next") return order;
      if (index === undefined) this.#hasUnplacedToken = true;
      this.#relayedTokens += 1;
    }
    if (choice?.finish_reason) {
      if (this.#hasFinished) return "repeated";
      if (!this.#matchesUsage(chunk.usage?.completion_tokens)) return "gap";
      this.#hasFinished = true;
    }
    return "next";
  }

  /** Checks the end marker: the answer is whole only after its last chunk. */
  checkEnd(): ChunkCheck {
    return this.#hasFinished ? "whole" : "gap";
  }

  #compareIndex(index: number | undefined): ChunkCheck {
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

/** The index of a token, where the engine numbers its events. */
function readIndex(eventId: string | undefined): number | undefined {
  if (eventId === undefined || eventId === "") return undefined;
  const index = Number(eventId);
  return Number.isInteger(index) ? index : undefined;
}
