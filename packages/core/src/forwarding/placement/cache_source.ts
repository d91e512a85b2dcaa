import type { Candidate } from "./choose_target.ts";
import type { EngineProperties } from "../routes/forwarding_config.ts";
import {
  countSharedTokens,
  type PromptDescription,
} from "../prompts/prompt.ts";

/** A target from which another can fetch the KV cache of a prompt. */
export interface CacheSource {
  readonly candidate: Candidate;
  /** Leading shared tokens of the prompt that the source has cached. */
  readonly tokens: number;
}

/** Input of the search for cache sources. */
export interface CacheSourceQuery {
  readonly prompt: PromptDescription;
  readonly engine: EngineProperties | undefined;
  /** Targets that can serve a fetch: those in use and those about to leave. */
  readonly candidates: readonly Candidate[];
  /** The preferred target, which is assumed to have all shared parts cached. */
  readonly preferredTarget: Candidate | undefined;
  /** Its reachable predecessors in that role, the likeliest sources first. */
  readonly formerPreferredTargets: readonly Candidate[];
  /** Estimated leading shared tokens in the cache of each target. */
  readonly cachedTokens: ReadonlyMap<Candidate, number>;
}

/**
 * Smallest number of tokens that is fetched. Reading fewer tokens takes an
 * engine less time than the setup of a fetch, which is some ms.
 */
export const MIN_FETCH_TOKENS = 256;

const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1e6;
const MS_PER_S = 1_000;

/** Finds targets from which the shared parts of one prompt can be fetched. */
export class CacheSources {
  readonly #query: CacheSourceQuery;
  /** Sorted by tokens, the most first. */
  readonly #sources: readonly CacheSource[];

  constructor(query: CacheSourceQuery) {
    this.#query = query;
    this.#sources = canFetch(query.engine) ? findSources(query) : [];
  }

  /**
   * Finds a source that has at least `MIN_FETCH_TOKENS` more tokens cached than
   * `target` is estimated to have. As a source, the preferred target is assumed
   * to have all shared parts. As `target`, it is not, since it may not have read
   * the prompt yet.
   */
  sourceFor(target: Candidate): CacheSource | undefined {
    if (this.#sources.length === 0) return undefined;
    const targetTokens = this.#query.cachedTokens.get(target) ?? 0;
    return this.#sources.find(({ candidate, tokens }) =>
      candidate !== target && tokens >= targetTokens + MIN_FETCH_TOKENS
    );
  }
}

/** Time that a fetch of tokens takes on an idle link, in ms. */
export function fetchMs(tokens: number, engine: EngineProperties): number {
  // Engines without a link fetch nothing, which takes no time.
  if (tokens === 0) return 0;
  const bits = tokens * engine.cacheBytesPerToken * BITS_PER_BYTE;
  return bits / (engine.linkMbps * BITS_PER_MEGABIT) * MS_PER_S;
}

function canFetch(engine: EngineProperties | undefined): boolean {
  return engine !== undefined && engine.linkMbps > 0 &&
    engine.cacheBytesPerToken > 0;
}

function findSources(query: CacheSourceQuery): CacheSource[] {
  const {
    prompt,
    candidates,
    preferredTarget,
    formerPreferredTargets,
    cachedTokens,
  } = query;
  const shared = countSharedTokens(prompt);
  if (shared < MIN_FETCH_TOKENS) return [];
  const sources: CacheSource[] = [];
  const holders = new Set(
    preferredTarget
      ? [...formerPreferredTargets, preferredTarget]
      : formerPreferredTargets,
  );
  for (const candidate of holders) sources.push({ candidate, tokens: shared });
  for (const candidate of candidates) {
    if (holders.has(candidate)) continue;
    const tokens = cachedTokens.get(candidate) ?? 0;
    if (tokens >= MIN_FETCH_TOKENS) sources.push({ candidate, tokens });
  }
  return sources.sort((a, b) => b.tokens - a.tokens);
}
