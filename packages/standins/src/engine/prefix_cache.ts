import type { Prefix } from "./prompt.ts";

/** Called for every prefix that enters or leaves the cache. */
export type CacheListener = (
  kind: "stored" | "removed",
  prefix: Prefix,
) => void;

/**
 * A prefix cache of limited size. It evicts the least recently used prefix
 * first, and a longer prefix before the shorter one that it extends.
 */
export class PrefixCache {
  /** In order of last use, the least recently used first. */
  readonly #entries = new Map<string, Prefix>();
  readonly #capacityTokens: number;
  readonly #listener: CacheListener;
  #usedTokens = 0;

  constructor(capacityTokens: number, listener: CacheListener) {
    this.#capacityTokens = capacityTokens;
    this.#listener = listener;
  }

  get usedTokens(): number {
    return this.#usedTokens;
  }

  /** Tokens of the cached prefixes before the first missing one. */
  match(prefixes: readonly Prefix[]): number {
    let tokens = 0;
    for (const prefix of prefixes) {
      if (!this.#entries.has(prefix.hash)) break;
      tokens += prefix.tokens;
    }
    return tokens;
  }

  /** Stores all prefixes and marks them as the most recently used. */
  store(prefixes: readonly Prefix[]): void {
    for (const prefix of prefixes.toReversed()) this.#touch(prefix);
    this.#evict();
  }

  /**
   * The cached prefixes from the first message up to `hash`, shortest first;
   * empty if `hash` is not cached.
   */
  chainOf(hash: string): Prefix[] {
    const chain: Prefix[] = [];
    let prefix = this.#entries.get(hash);
    while (prefix) {
      chain.unshift(prefix);
      prefix = this.#entries.get(prefix.parentHash);
    }
    return chain;
  }

  clear(): void {
    this.#entries.clear();
    this.#usedTokens = 0;
  }

  #touch(prefix: Prefix): void {
    const isNew = !this.#entries.delete(prefix.hash);
    this.#entries.set(prefix.hash, prefix);
    if (!isNew) return;
    this.#usedTokens += prefix.tokens;
    this.#listener("stored", prefix);
  }

  #evict(): void {
    for (const prefix of this.#entries.values()) {
      if (this.#usedTokens <= this.#capacityTokens) return;
      this.#entries.delete(prefix.hash);
      this.#usedTokens -= prefix.tokens;
      this.#listener("removed", prefix);
    }
  }
}
