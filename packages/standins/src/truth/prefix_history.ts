/**
 * Every prompt prefix that any engine of this process has held. It tells how
 * much of a prompt returns, whichever engine it returns to.
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
