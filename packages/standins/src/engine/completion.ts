import { createHash } from "node:crypto";
import { listPrefixes, type Message } from "./prompt.ts";

const WORDS = [
  "oak",
  "teak",
  "slate",
  "marble",
  "brass",
  "steel",
  "rail",
  "plank",
  "bolt",
  "tile",
  "granite",
  "copper",
  "ash",
  "cedar",
  "bracket",
  "offcut",
] as const;
const MIN_DEFAULT_TOKENS = 16;
const DEFAULT_TOKENS_RANGE = 33;

/** The completion that every engine generates for the same messages. */
export interface ExpectedCompletion {
  readonly tokens: readonly string[];
  readonly text: string;
  /** `length` if `maxTokens` was given, else `stop`. */
  readonly finishReason: "stop" | "length";
}

/**
 * Computes the completion of `messages`. The result depends only on the
 * arguments, so a client can check that a response is complete and belongs to
 * its request. The completion has exactly `maxTokens` tokens if given.
 */
export function expectedCompletion(
  messages: readonly Message[],
  maxTokens?: number,
): ExpectedCompletion {
  const promptHash = listPrefixes(messages).at(-1)?.hash ?? "";
  const digest = createHash("sha256").update(promptHash).digest();
  const defaultTokens = MIN_DEFAULT_TOKENS +
    digest.readUInt32LE(4) % DEFAULT_TOKENS_RANGE;
  const tokens: string[] = [`[${promptHash}]`];
  let state = digest.readUInt32LE(0) | 1;
  for (let index = 1; index < (maxTokens ?? defaultTokens); index += 1) {
    state = nextState(state);
    const word = WORDS[state % WORDS.length] as string;
    tokens.push(` ${word}${(state >>> 8) % 10_000}`);
  }
  return {
    tokens,
    text: tokens.join(""),
    finishReason: maxTokens === undefined ? "stop" : "length",
  };
}

/** Computes the next state of the xorshift32 generator. */
function nextState(state: number): number {
  let next = state;
  next ^= next << 13;
  next ^= next >>> 17;
  next ^= next << 5;
  return next >>> 0;
}
