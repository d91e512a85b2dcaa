import { maxLoadRequests } from "./load.ts";

/** Load of one target, or of all targets of a zone, as its keeper counts it. */
export interface PoolLoadReport {
  /** Targets that the report covers. */
  readonly targets: number;
  /** Requests that holders vouch for. */
  readonly loadRequests: number;
  /** Permits that ended a second. */
  readonly endedPerSecond: number;
  /** Epoch number of the keeper; a report with a lower one is ignored. */
  readonly epochNumber: number;
}

/** Settings of a `PoolMeanEstimate`. */
export interface PoolMeanEstimateOptions {
  /**
   * Time from the end of an answer until its permit is back at the keeper, and
   * from a grant until the request has reached its target, together, in ms.
   */
  readonly permitLagMs: number;
  /** Time that a report is on its way, in ms. */
  readonly reportDelayMs: number;
  /** A report older than this counts as a load of nothing. */
  readonly maxReportAgeMs: number;
  /** Standard deviations of random ends that the discount covers. */
  readonly safetyDeviations: number;
}

/** Settings for zones a few milliseconds apart. */
export const DEFAULT_POOL_MEAN_OPTIONS: PoolMeanEstimateOptions = {
  permitLagMs: 30,
  reportDelayMs: 10,
  maxReportAgeMs: 5_000,
  safetyDeviations: 2,
};

interface StoredReport {
  readonly report: PoolLoadReport;
  readonly receivedAtMs: number;
}

const MS_PER_SECOND = 1_000;

/**
 * A lower bound of a pool's load, from reports of keepers of different age.
 * From their sum it takes the requests that may have ended since they were
 * measured, as if none had been admitted meanwhile.
 */
export class PoolMeanEstimate {
  readonly #options: PoolMeanEstimateOptions;
  readonly #reports = new Map<string, StoredReport>();
  #poolTargets = 0;

  constructor(options: PoolMeanEstimateOptions = DEFAULT_POOL_MEAN_OPTIONS) {
    this.#options = options;
  }

  /** Number of serving targets by this daemon's view of the pool. */
  setPoolTargets(count: number): void {
    this.#poolTargets = count;
  }

  /** Takes a report; `key` is the name of the target or of the zone. */
  noteReport(key: string, report: PoolLoadReport, receivedAtMs: number): void {
    const stored = this.#reports.get(key);
    if (stored && stored.report.epochNumber > report.epochNumber) return;
    this.#reports.set(key, { report, receivedAtMs });
  }

  /** Drops the report of a target or zone that is gone or cut off. */
  forget(key: string): void {
    this.#reports.delete(key);
  }

  /** Lower bound of the pool's load at `nowMs`, in requests. */
  lowerLoadRequests(nowMs: number): number {
    let sumRequests = 0;
    let expectedEnds = 0;
    for (const { report, receivedAtMs } of this.#reports.values()) {
      const ageMs = nowMs - receivedAtMs + this.#options.reportDelayMs;
      if (ageMs > this.#options.maxReportAgeMs) continue;
      const lagMs = ageMs + this.#options.permitLagMs;
      const ends = report.endedPerSecond * lagMs / MS_PER_SECOND;
      sumRequests += report.loadRequests;
      expectedEnds += Math.min(ends, report.loadRequests);
    }
    const spread = this.#options.safetyDeviations * Math.sqrt(expectedEnds);
    return Math.max(0, sumRequests - expectedEnds - spread);
  }

  /** The most load that a target may have at an admission at `nowMs`. */
  limitRequests(factor: number, nowMs: number): number {
    let reportedTargets = 0;
    for (const { report } of this.#reports.values()) {
      reportedTargets += report.targets;
    }
    const poolTargets = Math.max(this.#poolTargets, reportedTargets, 1);
    return maxLoadRequests(
      factor,
      this.lowerLoadRequests(nowMs),
      poolTargets,
    );
  }
}
