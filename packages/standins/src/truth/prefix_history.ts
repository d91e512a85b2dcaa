/**
 * Every prompt prefix that any engine of this process has cached. The history
 * gives the returning part of a prompt, whichever engine receives the prompt.
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
