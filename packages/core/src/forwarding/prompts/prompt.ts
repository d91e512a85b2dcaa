/** A part of a prompt, which an engine may have in its KV cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Properties of a request that placement uses. */
export interface PromptDescription {
  /** In order; a cached part is usable only if all parts before it are cached. */
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
 * The parts that are shared with other requests. The last part belongs to this
 * request or its session alone.
 */
export function sharedParts(prompt: PromptDescription): readonly PromptPart[] {
  return prompt.parts.slice(0, -1);
}

/** The first quarantined parts all of which the prompt shares, if any. */
export function findQuarantinedParts(
  prompt: PromptDescription,
  quarantined: readonly (readonly string[])[],
): readonly string[] | undefined {
  if (quarantined.length === 0) return undefined;
  const shared = new Set(sharedParts(prompt).map(({ id }) => id));
  return quarantined.find((parts) => parts.every((part) => shared.has(part)));
}

/** Tokens of the parts that are shared with other requests. */
export function countSharedTokens(prompt: PromptDescription): number {
  return sharedParts(prompt).reduce((sum, { tokens }) => sum + tokens, 0);
}

/**
 * The part that determines the preferred target of a prompt: the last shared
 * one, since a target that has it cached has all parts before it as well. A
 * prompt with a single part uses that part.
 */
export function affinityPart(
  prompt: PromptDescription,
): PromptPart | undefined {
  return prompt.parts.at(-2) ?? prompt.parts.at(-1);
}
