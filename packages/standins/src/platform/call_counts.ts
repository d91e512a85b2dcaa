import { monotonicMs } from "../truth/index.ts";

const MS_PER_SECOND = 1000;

/** The kinds of calls; a watch counts once, when it opens. */
export type CallKind = "read" | "write" | "lease" | "watch";

/** Counts calls by kind: totals, the current second and its peak. */
export class CallCounts {
  readonly #totals: Record<CallKind, number> = {
    read: 0,
    write: 0,
    lease: 0,
    watch: 0,
  };
  readonly #peaks: Record<CallKind, number> = { ...this.#totals };
  #second = 0;
  #currentSecondCounts: Record<CallKind, number> = { ...this.#totals };

  /** Counts a call; returns the calls of its kind in the current second. */
  count(kind: CallKind): number {
    const second = Math.floor(monotonicMs() / MS_PER_SECOND);
    if (second !== this.#second) {
      this.#second = second;
      this.#currentSecondCounts = { read: 0, write: 0, lease: 0, watch: 0 };
    }
    this.#totals[kind] += 1;
    this.#currentSecondCounts[kind] += 1;
    this.#peaks[kind] = Math.max(
      this.#peaks[kind],
      this.#currentSecondCounts[kind],
    );
    return this.#currentSecondCounts[kind];
  }

  describe(): Record<string, unknown> {
    return { totals: this.#totals, peaksPerSecond: this.#peaks };
  }

  reset(): void {
    for (const kind of ["read", "write", "lease", "watch"] as const) {
      this.#totals[kind] = 0;
      this.#peaks[kind] = 0;
      this.#currentSecondCounts[kind] = 0;
    }
  }
}
