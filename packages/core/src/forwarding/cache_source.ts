import type { Candidate } from "./choose_target.ts";
import type { EngineProperties } from "./forwarding_config.ts";
import { countSharedTokens, type PromptDescription } from "./prompt.ts";

/** A target from which another can fetch the KV cache of a prompt. */
export interface CacheSource {
  readonly candidate: Candidate;
  /** Leading shared tokens of the prompt that the source keeps. */
  readonly tokens: number;
}

/** All that the search for a source depends on. */
export interface CacheSourceQuestion {
  readonly prompt: PromptDescription;
  readonly engine: EngineProperties | undefined;
  /** Targets that may be asked: those in use, and those about to leave. */
  readonly candidates: readonly Candidate[];
  /** The home of the prompt, which is believed to keep all shared parts. */
  readonly home: Candidate | undefined;
  /** Those before it that can be reached, the likeliest first. */
  readonly formerHomes: readonly Candidate[];
  /** Leading shared tokens that targets are known to have read. */
  readonly knownTokens: ReadonlyMap<Candidate, number>;
}

/** Fewer tokens are read sooner than a fetch is set up, which takes some ms. */
export const MIN_FETCH_TOKENS = 256;

const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1e6;
const MS_PER_S = 1_000;

/** Where the shared parts of one prompt can be fetched from. */
export class CacheSources {
  readonly #question: CacheSourceQuestion;
  /** The most tokens first. */
  readonly #sources: readonly CacheSource[];

  constructor(question: CacheSourceQuestion) {
    this.#question = question;
    this.#sources = canFetch(question.engine) ? findSources(question) : [];
  }

  /**
   * The source for a target: one that keeps more than the target is known to
   * have read. The home counts as having all parts only towards others, since
   * a prompt may be new to it.
   */
  sourceFor(target: Candidate): CacheSource | undefined {
    if (this.#sources.length === 0) return undefined;
    const known = this.#question.knownTokens.get(target) ?? 0;
    return this.#sources.find(({ candidate, tokens }) =>
      candidate !== target && tokens >= known + MIN_FETCH_TOKENS
    );
  }
}

/** Time that a fetch of tokens takes on a free link. */
export function fetchMs(tokens: number, engine: EngineProperties): number {
  const bits = tokens * engine.cacheBytesPerToken * BITS_PER_BYTE;
  return bits / (engine.linkMbps * BITS_PER_MEGABIT) * MS_PER_S;
}

function canFetch(engine: EngineProperties | undefined): boolean {
  return engine !== undefined && engine.linkMbps > 0 &&
    engine.cacheBytesPerToken > 0;
}

function findSources(question: CacheSourceQuestion): CacheSource[] {
  const { prompt, candidates, home, formerHomes, knownTokens } = question;
  const all = countSharedTokens(prompt);
  if (all < MIN_FETCH_TOKENS) return [];
  const sources: CacheSource[] = [];
  const owners = new Set(home ? [...formerHomes, home] : formerHomes);
  for (const candidate of owners) sources.push({ candidate, tokens: all });
  for (const candidate of candidates) {
    if (owners.has(candidate)) continue;
    const tokens = knownTokens.get(candidate) ?? 0;
    if (tokens >= MIN_FETCH_TOKENS) sources.push({ candidate, tokens });
  }
  return sources.sort((a, b) => b.tokens - a.tokens);
}
