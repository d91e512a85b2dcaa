import {
  INITIAL_REVISION,
  isLater,
  startsEra,
  type StoreRevision,
} from "@coltsfootford/core";
import { z } from "zod";
import {
  type KeyValueEntry,
  PrefixMirror,
  type WatchBatch,
} from "@coltsfootford/key-value";

/** An entry of the store, as daemons exchange it. */
export const EntrySchema = z.object({
  key: z.string(),
  value: z.string(),
  createRevision: z.number(),
  modRevision: z.number(),
  version: z.number(),
  leaseId: z.string(),
});

/** How the entries of a prefix have changed. */
export interface PrefixChange {
  /** Whether the entries come from another daemon, not from the store. */
  readonly isFromPeer: boolean;
  /**
   * Whether they are the first ones of a restored store. Entries may be missing
   * that nobody deleted, and others may be older than those before.
   */
  readonly isRestored: boolean;
  /**
   * Whether the daemon that passed the entries on holds that others may have
   * lapsed while the store was away.
   */
  readonly isAfterOutage: boolean;
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

/** What has changed under one prefix since a point that another daemon knows. */
export interface PrefixDelta {
  readonly revision: StoreRevision;
  /** The entries that have changed since. */
  readonly entries: readonly KeyValueEntry[];
  /** The keys of all entries; null where no entry has changed. */
  readonly keys: readonly string[] | null;
  /** Keys of changed entries that are left out, since they are too large. */
  readonly omitted: readonly string[];
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
    this.#apply(selectPrefix(batch, this.prefix), {
      isFromPeer: false,
      isAfterOutage: false,
    });
  }

  /** Applies a peer's snapshot if it is newer; returns whether it was. */
  applySnapshot(
    { revision, entries }: PrefixSnapshot,
    isAfterOutage = false,
  ): boolean {
    if (!isLater(revision, this.#mirror.revision)) return false;
    const snapshot: WatchBatch = { kind: "snapshot", revision, entries };
    this.#apply(snapshot, { isFromPeer: true, isAfterOutage });
    return true;
  }

  hasChangedSince(known: StoreRevision): boolean {
    return isLater(this.#changeRevision, known);
  }

  /**
   * What has changed since `known`; undefined if `known` is as late. Entries with
   * values longer than `maxValueLength` are left out.
   */
  deltaSince(
    known: StoreRevision,
    maxValueLength = Infinity,
  ): PrefixDelta | undefined {
    const { revision } = this.#mirror;
    if (!isLater(revision, known)) return undefined;
    const isOtherEra = known.era !== revision.era;
    if (!isOtherEra && !this.hasChangedSince(known)) {
      return { revision, entries: [], keys: null, omitted: [] };
    }
    const entries = this.#mirror.entries();
    const changed = isOtherEra
      ? entries
      : entries.filter(({ modRevision }) => modRevision > known.revision);
    const isLarge = ({ value }: KeyValueEntry) => value.length > maxValueLength;
    return {
      revision,
      entries: changed.filter((entry) => !isLarge(entry)),
      keys: entries.map(({ key }) => key),
      omitted: changed.filter(isLarge).map(({ key }) => key),
    };
  }

  /**
   * Applies a peer's delta since `since`, to which omitted entries were added.
   * Returns false if it does not begin at what is known here, or if other entries
   * that it does not contain are not known.
   */
  applyDelta(
    delta: PrefixDelta,
    since: StoreRevision,
    isAfterOutage: boolean,
  ): boolean {
    const { revision, keys } = delta;
    if (!isLater(revision, this.#mirror.revision)) return true;
    if (isLater(since, this.#mirror.revision)) return false;
    if (keys === null) {
      if (revision.era !== this.#mirror.revision.era) return false;
      this.#mirror.apply({ kind: "events", events: [], revision });
      return true;
    }
    const known = new Map(
      this.#mirror.entries().map((entry) => [entry.key, entry]),
    );
    for (const entry of delta.entries) known.set(entry.key, entry);
    const entries = keys.flatMap((key) => known.get(key) ?? []);
    if (entries.length < keys.length) return false;
    return this.applySnapshot({ revision, entries }, isAfterOutage);
  }

  #apply(
    batch: WatchBatch,
    origin: Pick<PrefixChange, "isFromPeer" | "isAfterOutage">,
  ): void {
    const before = this.#mirror.revision;
    if (!this.#mirror.apply(batch)) return;
    this.#changeRevision = batch.revision;
    const isRestored = startsEra(before, batch.revision);
    this.#options.onChange(this.#mirror.entries(), { ...origin, isRestored });
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
