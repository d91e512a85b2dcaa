interface PullBackoff {
  lastAtMs: number;
  waitMs: number;
}

const MAX_PULL_WAIT_MS = 60_000;

/**
 * Decides when to pull a zone's records from a daemon. A pull needs several
 * digest mismatches in a row, because changes in flight cause brief mismatches.
 * Pulls that don't resolve the mismatch are repeated with exponential backoff.
 */
export class DigestCheck {
  readonly #mismatchCount: number;
  readonly #pullMs: number;
  /** By daemon and zone: an equal digest of another daemon doesn't count. */
  readonly #mismatches = new Map<string, number>();
  readonly #pullBackoffs = new Map<string, PullBackoff>();

  constructor(mismatchCount: number, pullMs: number) {
    this.#mismatchCount = mismatchCount;
    this.#pullMs = pullMs;
  }

  /** Records a comparison and returns whether to pull the records. */
  compare(from: string, zone: string, isEqual: boolean, nowMs: number) {
    const key = `${from} ${zone}`;
    if (isEqual) {
      this.#mismatches.delete(key);
      this.#pullBackoffs.delete(key);
      return false;
    }
    const mismatches = (this.#mismatches.get(key) ?? 0) + 1;
    this.#mismatches.set(key, mismatches);
    if (mismatches < this.#mismatchCount) return false;
    const backoff = this.#pullBackoffs.get(key);
    if (backoff && nowMs - backoff.lastAtMs < backoff.waitMs) return false;
    const waitMs = backoff
      ? Math.min(MAX_PULL_WAIT_MS, backoff.waitMs * 2)
      : this.#pullMs;
    this.#pullBackoffs.set(key, { lastAtMs: nowMs, waitMs });
    this.#mismatches.delete(key);
    return true;
  }

  /** Removes the state of a daemon that is no longer a candidate. */
  remove(from: string): void {
    for (const entries of [this.#mismatches, this.#pullBackoffs]) {
      for (const key of entries.keys()) {
        if (key.startsWith(`${from} `)) entries.delete(key);
      }
    }
  }
}
