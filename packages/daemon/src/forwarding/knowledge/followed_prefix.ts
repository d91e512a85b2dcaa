import {
  type KeyValueClient,
  type KeyValueEntry,
  PrefixMirror,
  type Watch,
  type WatchBatch,
  type WatchPace,
} from "@coltsfootford/key-value";

/**
 * Longest wait before the store is asked again. It keeps a daemon within the
 * bound on configurations, seconds, after a trouble of the store.
 */
const MAX_BACKOFF_MS = 400;

/** What a follower does with its prefix. */
export interface FollowOptions {
  readonly prefix: string;
  readonly pace: WatchPace;
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

/** Follows one prefix of the store, and takes later copies of peers. */
export class FollowedPrefix {
  readonly #mirror = new PrefixMirror();
  readonly #options: FollowOptions;
  #watch: Watch | undefined;

  constructor(options: FollowOptions) {
    this.#options = options;
  }

  get prefix(): string {
    return this.#options.prefix;
  }

  get revision(): number {
    return this.#mirror.revision;
  }

  start(store: KeyValueClient): void {
    const { prefix, pace } = this.#options;
    this.#watch = store.watch({
      selection: { prefix },
      maxBackoffMs: MAX_BACKOFF_MS,
      pace,
      onBatch: (batch) => this.#apply(batch, false),
    });
  }

  stop(): void {
    this.#watch?.close();
  }

  copy(): PrefixCopy {
    return { revision: this.#mirror.revision, entries: this.#mirror.entries() };
  }

  /** Takes a peer's copy where it is later than the own; tells whether. */
  takeCopy({ revision, entries }: PrefixCopy): boolean {
    if (revision <= this.#mirror.revision) return false;
    this.#apply({ kind: "snapshot", revision, entries }, true);
    return true;
  }

  #apply(batch: WatchBatch, isFromPeer: boolean): void {
    if (!this.#mirror.apply(batch)) return;
    this.#options.onChange(this.#mirror.entries(), isFromPeer);
  }
}
