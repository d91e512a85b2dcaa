import { type PromptPart } from "./prompt.ts";

/**
 * How long a part that a target has read is believed to be in its cache.
 * Engines drop the least recently used parts first and keep minutes of work.
 */
const BELIEF_TTL_MS = 60_000;
/** Most parts remembered for each target; the oldest are dropped first. */
const MAX_PARTS_PER_TARGET = 4_000;

/** What this daemon believes that each target has in its cache. */
export class CacheEstimates {
  readonly #readAtMs = new Map<string, Map<string, number>>();

  /** Notes that the target reads these parts. */
  noteRead(
    incarnation: string,
    parts: readonly PromptPart[],
    nowMs: number,
  ): void {
    let known = this.#readAtMs.get(incarnation);
    if (!known) {
      known = new Map();
      this.#readAtMs.set(incarnation, known);
    }
    for (const part of parts) {
      known.delete(part.id);
      known.set(part.id, nowMs);
    }
    for (const id of known.keys()) {
      if (known.size <= MAX_PARTS_PER_TARGET) break;
      known.delete(id);
    }
  }

  /** Tokens of the leading parts that the target is believed to have. */
  cachedTokens(
    incarnation: string,
    parts: readonly PromptPart[],
    nowMs: number,
  ): number {
    const known = this.#readAtMs.get(incarnation);
    if (!known) return 0;
    let tokens = 0;
    for (const part of parts) {
      const readAtMs = known.get(part.id);
      if (readAtMs === undefined || nowMs - readAtMs > BELIEF_TTL_MS) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Forgets targets that are no longer there. */
  keepOnly(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#readAtMs.keys()) {
      if (!incarnations.has(incarnation)) this.#readAtMs.delete(incarnation);
    }
  }
}
