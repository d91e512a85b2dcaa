import {
  INITIAL_REVISION,
  isLater,
  type StoreRevision,
} from "@coltsfootford/core";
import type { KeyValueEntry, WatchBatch } from "./key_value_types.ts";

/**
 * A copy of the entries under a prefix, as of a point in the store's history.
 * Applies batches of a watch and snapshots from other processes, and ignores
 * those of an earlier point. Only a snapshot begins another era.
 */
export class PrefixMirror {
  readonly #entries = new Map<string, KeyValueEntry>();
  #revision = INITIAL_REVISION;

  /** The point of the copy; the initial one before the first batch. */
  get revision(): StoreRevision {
    return this.#revision;
  }

  entries(): readonly KeyValueEntry[] {
    return [...this.#entries.values()];
  }

  /** Applies a batch; returns false if the batch contains nothing new. */
  apply(batch: WatchBatch): boolean {
    if (isLater(this.#revision, batch.revision)) return false;
    if (batch.kind === "snapshot") {
      this.#entries.clear();
      for (const entry of batch.entries) this.#entries.set(entry.key, entry);
      this.#revision = batch.revision;
      return true;
    }
    const { era } = this.#revision;
    if (batch.revision.era !== era) return false;
    let hasChanged = false;
    for (const event of batch.events) {
      const revision = event.kind === "put"
        ? event.entry.modRevision
        : event.modRevision;
      if (!isLater({ era, revision }, this.#revision)) continue;
      hasChanged = true;
      if (event.kind === "put") this.#entries.set(event.entry.key, event.entry);
      else this.#entries.delete(event.key);
    }
    this.#revision = batch.revision;
    return hasChanged;
  }
}
