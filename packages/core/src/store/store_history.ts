import {
  INITIAL_REVISION,
  isLater,
  type StoreRevision,
} from "./store_revision.ts";

/** What a response of a store says about its place in the history. */
export interface ReportedRevision {
  readonly revision: number;
  /** Undefined where the store reports none. */
  readonly era: number | undefined;
}

/** Places the responses of a store in its history. */
export class StoreHistory {
  #latest = INITIAL_REVISION;

  /** The latest point that is known. */
  get latest(): StoreRevision {
    return this.#latest;
  }

  /**
   * Places the response to a linearizable call that began when `begunAt` was the
   * latest point known. Such a response is never earlier. So where no era is
   * reported, a lower revision shows that the store was restored in between.
   */
  place(
    { revision, era }: ReportedRevision,
    begunAt: StoreRevision,
  ): StoreRevision {
    const inferredEra = revision < begunAt.revision
      ? begunAt.era + 1
      : begunAt.era;
    const placed = { era: era ?? inferredEra, revision };
    this.learn(placed);
    return placed;
  }

  /** Places a response that may be outdated. */
  placeStale({ revision, era }: ReportedRevision): StoreRevision {
    const placed = { era: era ?? this.#latest.era, revision };
    this.learn(placed);
    return placed;
  }

  /** Takes a point that another process has reached. */
  learn(known: StoreRevision): void {
    if (isLater(known, this.#latest)) this.#latest = known;
  }
}
