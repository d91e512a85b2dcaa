/** A target's report of its own load, with the time on the owner's clock. */
export interface TargetReport {
  /** Requests running and queued at the target. */
  readonly loadRequests: number;
  /** A time on the owner's clock at or before the measurement. */
  readonly measuredAtMs: number;
}

/** Time after a grant within which the request may be in transit, in ms. */
const MAX_ARRIVAL_DELAY_MS = 30;
/** Age above which a report is ignored, in ms. */
const MAX_REPORT_AGE_MS = 5_000;

/** State of the owner when it receives a report. */
export interface ReportContext {
  /**
   * True in a takeover with unresponsive holders, in which the report is a
   * lower bound of the load. Permits returned since the measurement then do not
   * account for any reported load.
   */
  readonly isLowerBound: boolean;
  /** Whether a message from the holder arrived since the measurement. */
  readonly hasMessageSince: (holder: string) => boolean;
}

const DEFAULT_REPORT_CONTEXT: ReportContext = {
  isLowerBound: false,
  hasMessageSince: () => true,
};

/** Options of a `TargetLedger`. */
export interface TargetLedgerOptions {
  /** Time within which a permit must be used, in ms. */
  readonly startWithinMs: number;
  /** Longest duration of a request, in ms. */
  readonly maxRequestMs: number;
}

/**
 * The outstanding permits of one target, at its owner. Orphans are requests
 * that may run at the target without a known holder. The load is the lower of
 * two upper bounds:
 *
 * - the permits of connected holders, plus orphans until their latest end;
 * - the target's last report, plus every permit that may have been used after
 *   the measurement.
 */
export class TargetLedger {
  readonly #options: TargetLedgerOptions;
  /** Times of the grants by holder and permit id. */
  readonly #heldByHolder = new Map<string, Map<number, number>>();
  #heldRequests = 0;
  #orphans: { readonly count: number; readonly endsAtMs: number }[] = [];
  #report: TargetReport | undefined;
  #grantTimesMs: number[] = [];
  #releaseTimesMs: number[] = [];
  readonly #createdAtMs: number;
  /** Requests of lost holders that still ran at the last report. */
  #lostRequests = 0;
  #holderLostAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: TargetLedgerOptions, createdAtMs: number) {
    this.#options = options;
    this.#createdAtMs = createdAtMs;
  }

  /** Requests of lost holders that still ran at the last report. */
  get lostRequests(): number {
    return this.#lostRequests;
  }

  /** Permits of connected holders. */
  get heldRequests(): number {
    return this.#heldRequests;
  }

  /**
   * Confirmed running requests: the held permits, except those granted so
   * recently that the request may be in transit, plus the requests of lost
   * holders in the last report. The last report limits the result.
   */
  runningRequests(nowMs: number): number {
    const lostRequests = Math.min(
      this.#lostRequests,
      this.#countOrphans(nowMs),
    );
    const permitRequests = this.#heldRequests + lostRequests -
      this.#countInTransit(nowMs);
    return Math.min(permitRequests, this.#runningByReport());
  }

  /**
   * The last report plus the grants since. The held permits still include
   * those that an unreachable holder could not return; the report does not.
   */
  #runningByReport(): number {
    const report = this.#report;
    if (!report) return Number.POSITIVE_INFINITY;
    const sinceMs = report.measuredAtMs - MAX_ARRIVAL_DELAY_MS;
    const granted = this.#grantTimesMs.filter((atMs) => atMs > sinceMs);
    return report.loadRequests + granted.length;
  }

  /** Upper bound of the target's load at `nowMs`. */
  loadRequests(nowMs: number): number {
    const orphanRequests = this.#countOrphans(nowMs);
    const permitBound = this.#heldRequests + orphanRequests;
    this.#pruneOldReport(nowMs);
    return Math.min(permitBound, this.#reportBound());
  }

  #reportBound(): number {
    if (!this.#report) return Number.POSITIVE_INFINITY;
    return this.#report.loadRequests + this.#grantTimesMs.length;
  }

  /**
   * Grants a permit if the load stays within `limitRequests`. A second call
   * with the same permit id also returns true and adds no load.
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

  /**
   * Counts a permit that the holder has already, for example after a takeover.
   */
  hold(holder: string, permitId: number, nowMs: number): void {
    const held = this.#heldByHolder.get(holder) ?? new Map<number, number>();
    this.#heldByHolder.set(holder, held);
    if (held.has(permitId)) return;
    held.set(permitId, nowMs);
    this.#heldRequests += 1;
    this.#grantTimesMs.push(nowMs);
  }

  /** Releases a permit. Returns whether the permit was outstanding. */
  release(holder: string, permitId: number, nowMs: number): boolean {
    const held = this.#heldByHolder.get(holder);
    if (!held?.delete(permitId)) return false;
    this.#heldRequests -= 1;
    this.#releaseTimesMs.push(nowMs);
    if (held.size === 0) this.#heldByHolder.delete(holder);
    return true;
  }

  /** Turns a lost holder's permits into orphans; the requests may still run. */
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

  /** Adds requests without a known holder. */
  addOrphans(count: number, nowMs: number): void {
    if (count <= 0) return;
    this.#orphans.push({
      count,
      endsAtMs: nowMs + this.#options.startWithinMs +
        this.#options.maxRequestMs,
    });
  }

  /**
   * Applies a target's report of its own load. The ledger ignores a report that
   * is older than the last one or that may count permits from before the
   * ledger's creation. Reported load without a permit belongs to an unknown
   * holder and becomes orphans. The orphans are at most the reported load minus
   * the running permits.
   */
  recordReport(
    report: TargetReport,
    nowMs: number,
    context: ReportContext = DEFAULT_REPORT_CONTEXT,
  ): void {
    const { measuredAtMs } = report;
    if (measuredAtMs < nowMs - MAX_REPORT_AGE_MS) return;
    if (this.#report && measuredAtMs < this.#report.measuredAtMs) return;
    if (measuredAtMs < this.#createdAtMs + this.#options.startWithinMs) return;
    this.#report = report;
    this.#pruneBefore(measuredAtMs);
    const returned = context.isLowerBound ? 0 : this.#releaseTimesMs.length;
    const explainedRequests = this.#heldRequests + this.#countOrphans(nowMs) +
      returned;
    this.addOrphans(report.loadRequests - explainedRequests, nowMs);
    this.#lostRequests = this.#countLost(report);
    const running = this.#countRunning(measuredAtMs, context.hasMessageSince);
    this.#limitOrphans(report.loadRequests - running);
  }

  /**
   * Counts the reported requests of lost holders: those without a permit. The
   * count is 0 for a report measured before the last holder was lost, since the
   * report may include requests that ended with the holder.
   */
  #countLost({ loadRequests, measuredAtMs }: TargetReport): number {
    if (measuredAtMs < this.#holderLostAtMs) return 0;
    const explainedRequests = this.#heldRequests + this.#releaseTimesMs.length;
    return Math.max(0, loadRequests - explainedRequests);
  }

  /**
   * Counts the permits that were in use at `measuredAtMs`: those that are still
   * held and had to be started by then. A permit whose request ended before
   * would have been returned by now. If its return was delayed, the next report
   * shows load without a permit.
   */
  #countRunning(
    measuredAtMs: number,
    hasMessageSince: (holder: string) => boolean,
  ): number {
    const startedByMs = measuredAtMs - this.#options.startWithinMs;
    let running = 0;
    for (const [holder, held] of this.#heldByHolder) {
      // A paused holder may still hold permits of requests that have ended.
      if (!hasMessageSince(holder)) continue;
      for (const grantedAtMs of held.values()) {
        if (grantedAtMs <= startedByMs) running += 1;
      }
    }
    return running;
  }

  #limitOrphans(maxRequests: number): void {
    let remaining = Math.max(0, maxRequests);
    this.#orphans = this.#orphans.map((orphan) => {
      const count = Math.min(orphan.count, remaining);
      remaining -= count;
      return { ...orphan, count };
    }).filter((orphan) => orphan.count > 0);
  }

  #countInTransit(nowMs: number): number {
    let count = 0;
    for (let index = this.#grantTimesMs.length - 1; index >= 0; index--) {
      if (this.#grantTimesMs[index]! <= nowMs - MAX_ARRIVAL_DELAY_MS) break;
      count += 1;
    }
    return Math.min(count, this.#heldRequests);
  }

  #pruneOldReport(nowMs: number): void {
    const oldestMs = nowMs - MAX_REPORT_AGE_MS;
    const firstGrantMs = this.#grantTimesMs[0] ?? nowMs;
    const firstReleaseMs = this.#releaseTimesMs[0] ?? nowMs;
    const firstMs = Math.min(firstGrantMs, firstReleaseMs);
    if (firstMs >= oldestMs - this.#options.startWithinMs) return;
    this.#pruneBefore(oldestMs);
    if (this.#report && this.#report.measuredAtMs < oldestMs) {
      this.#report = undefined;
      this.#lostRequests = 0;
    }
  }

  #pruneBefore(measuredAtMs: number): void {
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
