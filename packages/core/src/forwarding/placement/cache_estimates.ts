import { type PromptPart } from "../prompts/prompt.ts";

/**
 * How long a prompt part counts as cached after a target has read it. Engines
 * evict the least recently used parts first; their caches hold the parts of
 * some minutes.
 */
const ESTIMATE_TTL_MS = 60_000;
/** Limit of tracked parts per target; the oldest are evicted first. */
const MAX_PARTS_PER_TARGET = 4_000;

/** Estimates which prompt parts each target has in its cache. */
export class CacheEstimates {
  readonly #readAtMs = new Map<string, Map<string, number>>();

  /** Records that the target reads these parts. */
  recordRead(
    incarnation: string,
    parts: readonly PromptPart[],
    nowMs: number,
  ): void {
    let readAtMsByPart = this.#readAtMs.get(incarnation);
    if (!readAtMsByPart) {
      readAtMsByPart = new Map();
      this.#readAtMs.set(incarnation, readAtMsByPart);
    }
    for (const part of parts) {
      readAtMsByPart.delete(part.id);
      readAtMsByPart.set(part.id, nowMs);
    }
    for (const id of readAtMsByPart.keys()) {
      if (readAtMsByPart.size <= MAX_PARTS_PER_TARGET) break;
      readAtMsByPart.delete(id);
    }
  }

  /** Estimated tokens of the leading parts that the target has cached. */
  cachedTokens(
    incarnation: string,
    parts: readonly PromptPart[],
    nowMs: number,
  ): number {
    const readAtMsByPart = this.#readAtMs.get(incarnation);
    if (!readAtMsByPart) return 0;
    let tokens = 0;
    for (const part of parts) {
      const readAtMs = readAtMsByPart.get(part.id);
      if (readAtMs === undefined || nowMs - readAtMs > ESTIMATE_TTL_MS) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Removes the estimates of all other incarnations. */
  keepOnly(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#readAtMs.keys()) {
      if (!incarnations.has(incarnation)) this.#readAtMs.delete(incarnation);
    }
  }
}
