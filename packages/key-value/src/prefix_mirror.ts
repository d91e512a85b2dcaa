import type { KeyValueEntry, WatchBatch } from "./key_value_types.ts";

/**
 * A copy of the entries under a prefix, as of a revision. Applies batches of a
 * watch and snapshots from other processes, and ignores those of an older
 * revision.
 */
export class PrefixMirror {
  readonly #entries = new Map<string, KeyValueEntry>();
  #revision = 0;

  /** Revision of the copy; 0 before the first batch. */
  get revision(): number {
    return this.#revision;
  }

  entries(): readonly KeyValueEntry[] {
    return [...this.#entries.values()];
  }

  /** Applies a batch; returns false if the batch contains nothing new. */
  apply(batch: WatchBatch): boolean {
    if (batch.revision < this.#revision) return false;
    if (batch.kind === "snapshot") {
      this.#entries.clear();
      for (const entry of batch.entries) this.#entries.set(entry.key, entry);
      this.#revision = batch.revision;
      return true;
    }
    let hasChanged = false;
    for (const event of batch.events) {
      const revision = event.kind === "put"
        ? event.entry.modRevision
        : event.modRevision;
      if (revision <= this.#revision) continue;
      hasChanged = true;
      if (event.kind === "put") this.#entries.set(event.entry.key, event.entry);
      else this.#entries.delete(event.key);
    }
    this.#revision = batch.revision;
    return hasChanged;
  }
}
