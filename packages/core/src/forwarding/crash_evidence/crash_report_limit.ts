/** Reports of all daemons within `WINDOW_MS`, for crashes without a cause. */
const MAX_PENDING_REPORTS = 6;
/** The limit for crashes during the beginning of a response. */
const MAX_BEGUN_REPORTS = 24;
const WINDOW_MS = 1_000;

/**
 * Limits the crash reports of all daemons. Where many targets fail at once,
 * single crashes are no evidence. Each daemon hears all reports, so each can
 * keep to a limit on what all of them announce.
 */
export class CrashReportLimit {
  readonly #reportedAtMs: number[] = [];

  /** Whether the daemon may announce a report now. */
  mayReport(hasBegunSuspect: boolean, nowMs: number): boolean {
    while (nowMs - (this.#reportedAtMs[0] ?? nowMs) >= WINDOW_MS) {
      this.#reportedAtMs.shift();
    }
    const limit = hasBegunSuspect ? MAX_BEGUN_REPORTS : MAX_PENDING_REPORTS;
    return this.#reportedAtMs.length < limit;
  }

  /** Records a report by this or another daemon. */
  recordReport(nowMs: number): void {
    this.#reportedAtMs.push(nowMs);
  }
}
