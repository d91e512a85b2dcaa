/** Shortest time between two announcements of one target by any daemon. */
const ANNOUNCEMENT_PERIOD_MS = 250;
/** Multiple of the load bound from which a load is announced. */
const ANNOUNCED_BOUND_FACTOR = 1.5;
/** Limit on the announcements of all daemons within `RATE_WINDOW_MS`. */
const MAX_ANNOUNCEMENTS = 4;
const RATE_WINDOW_MS = 1_000;

interface Announcement {
  readonly incarnation: string;
  readonly atMs: number;
}

/**
 * Selects the reported loads that a daemon announces to all others. In a large
 * fleet the daemons that send to an overloaded target hear from it too rarely
 * to learn of the overload themselves. Each daemon hears all announcements, so
 * each can keep to limits on what all of them announce.
 */
export class OverloadAnnouncements {
  /** Announcements within the window, the oldest first. */
  readonly #recent: Announcement[] = [];

  /**
   * Whether to announce a load that a target reported. The load is far above the
   * bound, and the announcements of all daemons leave room for it.
   */
  isNews(
    incarnation: string,
    requests: number,
    loadBound: number,
    nowMs: number,
  ): boolean {
    if (requests < loadBound * ANNOUNCED_BOUND_FACTOR) return false;
    this.#removeOld(nowMs);
    if (this.#recent.length >= MAX_ANNOUNCEMENTS) return false;
    return !this.isRecent(incarnation, nowMs);
  }

  /** Whether a daemon announced the target within the last period. */
  isRecent(incarnation: string, nowMs: number): boolean {
    return this.#recent.some((announcement) =>
      announcement.incarnation === incarnation &&
      nowMs - announcement.atMs < ANNOUNCEMENT_PERIOD_MS
    );
  }

  /** Records an announcement by this or another daemon. */
  recordAnnounced(incarnation: string, nowMs: number): void {
    this.#removeOld(nowMs);
    this.#recent.push({ incarnation, atMs: nowMs });
  }

  #removeOld(nowMs: number): void {
    while (this.#recent[0] && nowMs - this.#recent[0].atMs >= RATE_WINDOW_MS) {
      this.#recent.shift();
    }
  }
}
