interface ZoneCheck {
  mismatches: number;
  pulledAtMs: number;
  waitMs: number;
}

const MAX_PULL_WAIT_MS = 60_000;

/**
 * Decides when to pull a zone's records: only after digests differed several
 * times in a row, because changes on their way make them differ for a moment,
 * and ever more seldom while pulls do not make them equal.
 */
export class DigestCheck {
  readonly #mismatchCount: number;
  readonly #pullMs: number;
  readonly #zones = new Map<string, ZoneCheck>();

  constructor(mismatchCount: number, pullMs: number) {
    this.#mismatchCount = mismatchCount;
    this.#pullMs = pullMs;
  }

  /** Notes a comparison and tells whether the records should be pulled. */
  compare(zone: string, isEqual: boolean, nowMs: number): boolean {
    const check = this.#zones.get(zone) ?? {
      mismatches: 0,
      pulledAtMs: Number.NEGATIVE_INFINITY,
      waitMs: this.#pullMs,
    };
    this.#zones.set(zone, check);
    if (isEqual) {
      check.mismatches = 0;
      check.waitMs = this.#pullMs;
      return false;
    }
    check.mismatches += 1;
    if (check.mismatches < this.#mismatchCount) return false;
    if (nowMs - check.pulledAtMs < check.waitMs) return false;
    check.waitMs = Number.isFinite(check.pulledAtMs)
      ? Math.min(MAX_PULL_WAIT_MS, check.waitMs * 2)
      : check.waitMs;
    check.pulledAtMs = nowMs;
    check.mismatches = 0;
    return true;
  }
}
