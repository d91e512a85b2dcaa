import {
  type KeyValueEntry,
  PrefixMirror,
  type WatchBatch,
} from "@coltsfootford/key-value";

/** What a follower does with its prefix. */
export interface FollowOptions {
  readonly prefix: string;
  /** `isFromPeer` tells that another daemon handed the entries over. */
  readonly onChange: (
    entries: readonly KeyValueEntry[],
    isFromPeer: boolean,
  ) => void;
}

/** A copy of the entries of one prefix, as another daemon may ask for it. */
export interface PrefixCopy {
  readonly revision: number;
  readonly entries: readonly KeyValueEntry[];
}

/** Keeps the entries of one prefix, from the store and from copies of peers. */
export class FollowedPrefix {
  readonly #mirror = new PrefixMirror();
  readonly #options: FollowOptions;
  #changeRevision = 0;

  constructor(options: FollowOptions) {
    this.#options = options;
  }

  get prefix(): string {
    return this.#options.prefix;
  }

  get revision(): number {
    return this.#mirror.revision;
  }

  /**
   * The revision of the last change that is known. The mirror's own revision
   * also grows with changes of other prefixes.
   */
  get changeRevision(): number {
    return this.#changeRevision;
  }

  copy(): PrefixCopy {
    return { revision: this.#mirror.revision, entries: this.#mirror.entries() };
  }

  /** Takes what concerns the prefix out of a batch over all keys. */
  takeBatch(batch: WatchBatch): void {
    this.#apply(selectPrefix(batch, this.prefix), false);
  }

  /** Takes a peer's copy where it is later than the own; tells whether. */
  takeCopy({ revision, entries }: PrefixCopy): boolean {
    if (revision <= this.#mirror.revision) return false;
    this.#apply({ kind: "snapshot", revision, entries }, true);
    return true;
  }

  #apply(batch: WatchBatch, isFromPeer: boolean): void {
    if (!this.#mirror.apply(batch)) return;
    this.#changeRevision = batch.revision;
    this.#options.onChange(this.#mirror.entries(), isFromPeer);
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
