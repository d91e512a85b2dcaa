/**
 * Every prompt prefix that any engine of this process has cached. The returning
 * tokens of a prompt are counted from it, whichever engine receives the prompt.
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
