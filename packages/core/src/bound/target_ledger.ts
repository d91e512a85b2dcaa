/** A target's own count of its load, mapped to the keeper's clock. */
export interface TargetReport {
  /** Requests running and waiting at the target. */
  readonly loadRequests: number;
  /** A time on the keeper's clock that is not after the measurement. */
  readonly measuredAtMs: number;
}

/** Time after a grant within which the request may still be on its way. */
const ARRIVAL_LAG_MS = 30;
/** Reports measured longer ago are ignored. */
const MAX_REPORT_AGE_MS = 5_000;

/** What the keeper knows when it takes a report. */
export interface ReportContext {
  /**
   * True at the end of a take-over with silent holders: permits that came back
   * since the measurement then explain nothing.
   */
  readonly isFloor: boolean;
  /** Whether a holder was heard since the measurement. */
  readonly isHeard: (holder: string) => boolean;
}

const NORMAL_REPORT: ReportContext = { isFloor: false, isHeard: () => true };

/** Settings of a `TargetLedger`. */
export interface TargetLedgerOptions {
  /** Time within which a permit must be used. */
  readonly startWithinMs: number;
  /** No request runs longer than this, in ms. */
  readonly maxRequestMs: number;
}

/**
 * The permits outstanding for one target, at its keeper. Two upper bounds of
 * the target's load are kept, and the lower of them is its load here:
 *
 * - permits of holders that are there, plus permits of holders that are gone
 *   until their requests must have ended;
 * - the target's last report, plus every permit that may have been used after
 *   the measurement.
 */
export class TargetLedger {
  readonly #options: TargetLedgerOptions;
  /** Times of the grants by holder and ask. */
  readonly #heldByHolder = new Map<string, Map<number, number>>();
  #heldRequests = 0;
  #orphans: { readonly count: number; readonly endsAtMs: number }[] = [];
  #report: TargetReport | undefined;
  #grantTimesMs: number[] = [];
  #releaseTimesMs: number[] = [];
  readonly #createdAtMs: number;
  /** Requests of lost holders that the last report showed to be running. */
  #lostRequests = 0;
  #holderLostAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: TargetLedgerOptions, createdAtMs: number) {
    this.#options = options;
    this.#createdAtMs = createdAtMs;
  }

  /** Requests of lost holders by the last report. */
  get lostRequests(): number {
    return this.#lostRequests;
  }

  /** Permits of holders that are there. */
  get heldRequests(): number {
    return this.#heldRequests;
  }

  /**
   * Requests that run at the target by all that is known: permits held, but
   * for those just granted, and what the last report showed beyond them.
   */
  runningRequests(nowMs: number): number {
    const lostRequests = Math.min(
      this.#lostRequests,
      this.#countOrphans(nowMs),
    );
    const permitRequests = this.#heldRequests + lostRequests -
      this.#countOnTheWay(nowMs);
    return Math.min(permitRequests, this.#runningByReport());
  }

  /**
   * The last report and what was granted since. Returns of holders that cannot
   * be reached are missing from the permits, but not from the report.
   */
  #runningByReport(): number {
    const report = this.#report;
    if (!report) return Number.POSITIVE_INFINITY;
    const sinceMs = report.measuredAtMs - ARRIVAL_LAG_MS;
    const granted = this.#grantTimesMs.filter((atMs) => atMs > sinceMs);
    return report.loadRequests + granted.length;
  }

  /** Upper bound of the target's load at `nowMs`. */
  loadRequests(nowMs: number): number {
    const orphanRequests = this.#countOrphans(nowMs);
    const permitBound = this.#heldRequests + orphanRequests;
    this.#forgetOldReport(nowMs);
    return Math.min(permitBound, this.#reportBound());
  }

  #reportBound(): number {
    if (!this.#report) return Number.POSITIVE_INFINITY;
    return this.#report.loadRequests + this.#grantTimesMs.length;
  }

  /**
   * Grants a permit if the load stays within `limitRequests`. A second call
   * with the same ask gives the same answer and counts nothing.
   */
  tryGrant(
    holder: string,
    permitId: number,
    limitRequests: number,
    nowMs: number,
  ): boolean {
    if (this.#heldByHolder.get(holder)?.has(permitId)) return true;
    if (this.loadRequests(nowMs) + 1 > limitRequests) return false;
    this.hold(holder, permitId, nowMs);
    return true;
  }

  /** Counts a permit that the holder has already, for example by take-over. */
  hold(holder: string, permitId: number, nowMs: number): void {
    const held = this.#heldByHolder.get(holder) ?? new Map<number, number>();
    this.#heldByHolder.set(holder, held);
    if (held.has(permitId)) return;
    held.set(permitId, nowMs);
    this.#heldRequests += 1;
    this.#grantTimesMs.push(nowMs);
  }

  /** Ends a permit. Returns whether it was outstanding. */
  release(holder: string, permitId: number, nowMs: number): boolean {
    const held = this.#heldByHolder.get(holder);
    if (!held?.delete(permitId)) return false;
    this.#heldRequests -= 1;
    this.#releaseTimesMs.push(nowMs);
    if (held.size === 0) this.#heldByHolder.delete(holder);
    return true;
  }

  /** Keeps the load of a holder that is gone: its requests may still run. */
  dropHolder(holder: string, nowMs: number): void {
    const held = this.#heldByHolder.get(holder);
    if (!held) return;
    this.#heldByHolder.delete(holder);
    this.#heldRequests -= held.size;
    this.#holderLostAtMs = nowMs;
    this.#lostRequests = 0;
    this.addOrphans(held.size, nowMs);
  }

  /** Requests of lost holders that may still run. */
  orphanRequests(nowMs: number): number {
    return this.#countOrphans(nowMs);
  }

  /** Adds load whose holder is not known. */
  addOrphans(count: number, nowMs: number): void {
    if (count <= 0) return;
    this.#orphans.push({
      count,
      endsAtMs: nowMs + this.#options.startWithinMs +
        this.#options.maxRequestMs,
    });
  }

  /**
   * Takes the target's own count into account. Reports that are older than the
   * last one, or that may count permits from before this ledger, are ignored.
   * Load that no permit explains belongs to a holder that was not known. Load
   * of holders that are gone is at most what the permits of the others leave.
   */
  noteReport(
    report: TargetReport,
    nowMs: number,
    context: ReportContext = NORMAL_REPORT,
  ): void {
    const { measuredAtMs } = report;
    if (measuredAtMs < nowMs - MAX_REPORT_AGE_MS) return;
    if (this.#report && measuredAtMs < this.#report.measuredAtMs) return;
    if (measuredAtMs < this.#createdAtMs + this.#options.startWithinMs) return;
    this.#report = report;
    this.#forgetBefore(measuredAtMs);
    const returned = context.isFloor ? 0 : this.#releaseTimesMs.length;
    const explainedRequests = this.#heldRequests + this.#countOrphans(nowMs) +
      returned;
    this.addOrphans(report.loadRequests - explainedRequests, nowMs);
    this.#lostRequests = this.#countLost(report);
    const running = this.#countRunning(measuredAtMs, context.isHeard);
    this.#limitOrphans(report.loadRequests - running);
  }

  /** A report from before a holder was lost may count what ended with it. */
  #countLost({ loadRequests, measuredAtMs }: TargetReport): number {
    if (measuredAtMs < this.#holderLostAtMs) return 0;
    const explainedRequests = this.#heldRequests + this.#releaseTimesMs.length;
    return Math.max(0, loadRequests - explainedRequests);
  }

  /**
   * Permits that were in use at `measuredAtMs`: they had to be started before
   * and are held still. A permit that ended before it would be back by now; if
   * its return was held up, the next report shows load that is not explained.
   */
  #countRunning(
    measuredAtMs: number,
    isHeard: (holder: string) => boolean,
  ): number {
    const startedByMs = measuredAtMs - this.#options.startWithinMs;
    let running = 0;
    for (const [holder, held] of this.#heldByHolder) {
      // A holder that is paused may keep permits of requests that have ended.
      if (!isHeard(holder)) continue;
      for (const grantedAtMs of held.values()) {
        if (grantedAtMs <= startedByMs) running += 1;
      }
    }
    return running;
  }

  #limitOrphans(maxRequests: number): void {
    let rest = Math.max(0, maxRequests);
    this.#orphans = this.#orphans.map((orphan) => {
      const count = Math.min(orphan.count, rest);
      rest -= count;
      return { ...orphan, count };
    }).filter((orphan) => orphan.count > 0);
  }

  #countOnTheWay(nowMs: number): number {
    let count = 0;
    for (let index = this.#grantTimesMs.length - 1; index >= 0; index--) {
      if (this.#grantTimesMs[index]! <= nowMs - ARRIVAL_LAG_MS) break;
      count += 1;
    }
    return Math.min(count, this.#heldRequests);
  }

  #forgetOldReport(nowMs: number): void {
    const oldestMs = nowMs - MAX_REPORT_AGE_MS;
    const firstGrantMs = this.#grantTimesMs[0] ?? nowMs;
    const firstReleaseMs = this.#releaseTimesMs[0] ?? nowMs;
    const firstMs = Math.min(firstGrantMs, firstReleaseMs);
    if (firstMs >= oldestMs - this.#options.startWithinMs) return;
    this.#forgetBefore(oldestMs);
    if (this.#report && this.#report.measuredAtMs < oldestMs) {
      this.#report = undefined;
      this.#lostRequests = 0;
    }
  }

  #forgetBefore(measuredAtMs: number): void {
    const firstGrantMs = measuredAtMs - this.#options.startWithinMs;
    this.#grantTimesMs = this.#grantTimesMs.filter((grantedAtMs) =>
      grantedAtMs >= firstGrantMs
    );
    this.#releaseTimesMs = this.#releaseTimesMs.filter((releasedAtMs) =>
      releasedAtMs >= measuredAtMs
    );
  }

  #countOrphans(nowMs: number): number {
    if (this.#orphans.length === 0) return 0;
    this.#orphans = this.#orphans.filter((orphan) => orphan.endsAtMs > nowMs);
    return this.#orphans.reduce((sum, orphan) => sum + orphan.count, 0);
  }
}
