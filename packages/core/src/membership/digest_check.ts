interface Pulls {
  lastAtMs: number;
  waitMs: number;
}

const MAX_PULL_WAIT_MS = 60_000;

/**
 * Decides when to pull a zone's records from a daemon: only after its digests
 * differed several times in a row, because changes on their way make them
 * differ for a moment, and ever more seldom while pulls do not help.
 */
export class DigestCheck {
  readonly #mismatchCount: number;
  readonly #pullMs: number;
  /** By daemon and zone: another daemon's equal digest says nothing here. */
  readonly #mismatches = new Map<string, number>();
  readonly #pulls = new Map<string, Pulls>();

  constructor(mismatchCount: number, pullMs: number) {
    this.#mismatchCount = mismatchCount;
    this.#pullMs = pullMs;
  }

  /** Notes a comparison and tells whether the records should be pulled. */
  compare(from: string, zone: string, isEqual: boolean, nowMs: number) {
    const key = `${from} ${zone}`;
    if (isEqual) {
      this.#mismatches.delete(key);
      this.#pulls.delete(key);
      return false;
    }
    const mismatches = (this.#mismatches.get(key) ?? 0) + 1;
    this.#mismatches.set(key, mismatches);
    if (mismatches < this.#mismatchCount) return false;
    const pulls = this.#pulls.get(key);
    if (pulls && nowMs - pulls.lastAtMs < pulls.waitMs) return false;
    const waitMs = pulls
      ? Math.min(MAX_PULL_WAIT_MS, pulls.waitMs * 2)
      : this.#pullMs;
    this.#pulls.set(key, { lastAtMs: nowMs, waitMs });
    this.#mismatches.delete(key);
    return true;
  }

  /** Forgets a daemon that is no longer believed in. */
  forget(from: string): void {
    for (const counts of [this.#mismatches, this.#pulls]) {
      for (const key of counts.keys()) {
        if (key.startsWith(`${from} `)) counts.delete(key);
      }
    }
  }
}
