/** A part of a prompt, which an engine may have in its cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What placement needs to know of a request. */
export interface PromptDescription {
  /** In order; a cached part helps only where all parts before it are cached. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** A request without a prompt. */
export const NO_PROMPT: PromptDescription = {
  parts: [],
  promptTokens: 0,
  maxOutputTokens: 0,
};

/**
 * The parts that other requests share. The last part belongs to the request or
 * its session alone.
 */
export function sharedParts(prompt: PromptDescription): readonly PromptPart[] {
  return prompt.parts.slice(0, -1);
}

/** Tokens of the parts that other requests share. */
export function countSharedTokens(prompt: PromptDescription): number {
  return sharedParts(prompt).reduce((sum, { tokens }) => sum + tokens, 0);
}

/**
 * The part that decides on which target a prompt has its home: the last one
 * that others share, since all parts before it come with it.
 */
export function homePart(prompt: PromptDescription): PromptPart | undefined {
  return prompt.parts.at(-2) ?? prompt.parts.at(-1);
}
