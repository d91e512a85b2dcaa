/** Shortest time between two announcements of one target by any daemon. */
const ANNOUNCEMENT_PERIOD_MS = 250;
/** Multiple of the load bound from which a load is announced. */
const ANNOUNCED_BOUND_FACTOR = 1.5;

/**
 * Selects the reported loads that a daemon announces to all others. In a large
 * fleet the daemons that send to an overloaded target hear from it too rarely
 * to learn of the overload themselves.
 */
export class OverloadAnnouncements {
  readonly #announcedAtMs = new Map<string, number>();

  /**
   * Whether to announce a load that a target reported. The load is far above the
   * bound, and no daemon has announced the target lately.
   */
  isNews(
    incarnation: string,
    requests: number,
    loadBound: number,
    nowMs: number,
  ): boolean {
    if (requests < loadBound * ANNOUNCED_BOUND_FACTOR) return false;
    return !this.isRecent(incarnation, nowMs);
  }

  /** Whether a daemon announced the target within the last period. */
  isRecent(incarnation: string, nowMs: number): boolean {
    const announcedAtMs = this.#announcedAtMs.get(incarnation) ?? -Infinity;
    return nowMs - announcedAtMs < ANNOUNCEMENT_PERIOD_MS;
  }

  /** Records an announcement by this or another daemon. */
  recordAnnounced(incarnation: string, nowMs: number): void {
    this.#announcedAtMs.delete(incarnation);
    this.#announcedAtMs.set(incarnation, nowMs);
    for (const [oldest, announcedAtMs] of this.#announcedAtMs) {
      if (nowMs - announcedAtMs < ANNOUNCEMENT_PERIOD_MS) break;
      this.#announcedAtMs.delete(oldest);
    }
  }
}
