/** Limit of remembered deletions; the oldest are evicted first. */
const MAX_DELETED = 1_000;

/**
 * The keys of records that are in the store. Tells a deletion from a record that
 * a restored store has lost, and a new record from one that it has brought back.
 */
export class PublishedRecords {
  #keys: ReadonlySet<string> = new Set();
  readonly #deleted = new Set<string>();

  /** Records that are in the store and were not deleted before. */
  get keys(): ReadonlySet<string> {
    return new Set([...this.#keys].filter((key) => !this.#deleted.has(key)));
  }

  /** Records that were deleted before the store was restored, and are back. */
  get revived(): readonly string[] {
    return [...this.#keys].filter((key) => this.#deleted.has(key));
  }

  /**
   * Applies all current keys, and returns which records were deleted.
   * `isRestored`: the store was just restored.
   */
  update(keys: readonly string[], isRestored: boolean): readonly string[] {
    const before = this.#keys;
    this.#keys = new Set(keys);
    if (isRestored) return [];
    const deleted = [...before].filter((key) => !this.#keys.has(key));
    const added = keys.filter((key) => !before.has(key));
    for (const key of added) this.#deleted.delete(key);
    for (const key of deleted) this.#remember(key);
    return deleted;
  }

  /** Ends the memory of a deletion: the record is wanted again. */
  readmit(key: string): void {
    this.#deleted.delete(key);
  }

  #remember(key: string): void {
    this.#deleted.add(key);
    if (this.#deleted.size <= MAX_DELETED) return;
    const [oldest] = this.#deleted;
    if (oldest !== undefined) this.#deleted.delete(oldest);
  }
}
