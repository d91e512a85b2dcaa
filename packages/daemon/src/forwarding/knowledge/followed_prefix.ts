import {
  INITIAL_REVISION,
  isLater,
  startsEra,
  type StoreRevision,
} from "@coltsfootford/core";
import {
  type KeyValueEntry,
  PrefixMirror,
  type WatchBatch,
} from "@coltsfootford/key-value";

/** How the entries of a prefix have changed. */
export interface PrefixChange {
  /** Whether the entries come from another daemon, not from the store. */
  readonly isFromPeer: boolean;
  /**
   * Whether they are the first ones of a restored store. Entries may be missing
   * that nobody deleted, and others may be older than those before.
   */
  readonly isRestored: boolean;
}

/** Which prefix is followed, and the listener for its changes. */
export interface FollowOptions {
  readonly prefix: string;
  readonly onChange: (
    entries: readonly KeyValueEntry[],
    change: PrefixChange,
  ) => void;
}

/** A snapshot of the entries of one prefix, as daemons exchange it. */
export interface PrefixSnapshot {
  readonly revision: StoreRevision;
  readonly entries: readonly KeyValueEntry[];
}

/** Mirrors the entries of one prefix from the store or from peers' snapshots. */
export class FollowedPrefix {
  readonly #mirror = new PrefixMirror();
  readonly #options: FollowOptions;
  #changeRevision = INITIAL_REVISION;

  constructor(options: FollowOptions) {
    this.#options = options;
  }

  get prefix(): string {
    return this.#options.prefix;
  }

  get revision(): StoreRevision {
    return this.#mirror.revision;
  }

  /**
   * The revision of the last applied change to this prefix. The mirror's own
   * revision also grows with changes to other prefixes.
   */
  get changeRevision(): StoreRevision {
    return this.#changeRevision;
  }

  snapshot(): PrefixSnapshot {
    return { revision: this.#mirror.revision, entries: this.#mirror.entries() };
  }

  /** Applies the entries of the prefix from a batch over all keys. */
  applyBatch(batch: WatchBatch): void {
    this.#apply(selectPrefix(batch, this.prefix), false);
  }

  /** Applies a peer's snapshot if it is newer; returns whether it was. */
  applySnapshot({ revision, entries }: PrefixSnapshot): boolean {
    if (!isLater(revision, this.#mirror.revision)) return false;
    this.#apply({ kind: "snapshot", revision, entries }, true);
    return true;
  }

  #apply(batch: WatchBatch, isFromPeer: boolean): void {
    const before = this.#mirror.revision;
    if (!this.#mirror.apply(batch)) return;
    this.#changeRevision = batch.revision;
    const isRestored = startsEra(before, batch.revision);
    this.#options.onChange(this.#mirror.entries(), { isFromPeer, isRestored });
  }
}

function selectPrefix(batch: WatchBatch, prefix: string): WatchBatch {
  if (batch.kind === "snapshot") {
    const entries = batch.entries.filter(({ key }) => key.startsWith(prefix));
    return { ...batch, entries };
  }
  const events = batch.events.filter((event) => {
    const key = event.kind === "put" ? event.entry.key : event.key;
    return key.startsWith(prefix);
  });
  return { ...batch, events };
}
