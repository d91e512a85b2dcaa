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
const MIN_NATURAL_TOKENS = 16;
const NATURAL_TOKEN_SPREAD = 33;

/** The answer that every engine gives to the same messages. */
export interface ExpectedCompletion {
  readonly tokens: readonly string[];
  readonly text: string;
  /** `length` where `maxTokens` was given, else `stop`. */
  readonly finishReason: "stop" | "length";
}

/**
 * The answer to `messages`: a function of them alone, so that a caller can
 * check that an answer is whole and its own. It has exactly `maxTokens`
 * tokens where these are given.
 */
export function expectedAnswer(
  messages: readonly Message[],
  maxTokens?: number,
): ExpectedCompletion {
  const promptHash = listPrefixes(messages).at(-1)?.hash ?? "";
  const digest = createHash("sha256").update(promptHash).digest();
  const naturalTokens = MIN_NATURAL_TOKENS +
    digest.readUInt32LE(4) % NATURAL_TOKEN_SPREAD;
  const tokens: string[] = [`[${promptHash}]`];
  let state = digest.readUInt32LE(0) | 1;
  for (let index = 1; index < (maxTokens ?? naturalTokens); index += 1) {
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

/** One step of the xorshift32 generator. */
function nextState(state: number): number {
  let next = state;
  next ^= next << 13;
  next ^= next >>> 17;
  next ^= next << 5;
  return next >>> 0;
}
