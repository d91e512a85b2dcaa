/**
 * Every prompt prefix that any engine of this process has cached. The tokens of
 * a prompt count as returning if their prefix is in this history, whichever
 * engine receives the prompt.
 */
export class PrefixHistory {
  readonly #hashes = new Set<string>();

  add(prefixHash: string): void {
    this.#hashes.add(prefixHash);
  }

  has(prefixHash: string): boolean {
    return this.#hashes.has(prefixHash);
  }

  reset(): void {
    this.#hashes.clear();
  }
}
