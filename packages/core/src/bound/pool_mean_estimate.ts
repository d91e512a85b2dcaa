import { maxLoadRequests } from "./load.ts";

/** Load of the targets of one pool that one daemon owns. */
export interface PoolLoadReport {
  readonly pool: string;
  /**
   * Confirmed running requests of each owned target, in order of the targets'
   * names.
   */
  readonly loadsRequests: readonly number[];
  /** Permits of these targets that ended per second. */
  readonly endedPerSecond: number;
  /** Time of the measurement on the sender's monotonic clock, in ms. */
  readonly measuredAtMs: number;
}

/** Options of a `PoolMeanEstimate`. */
export interface PoolMeanEstimateOptions {
  /**
   * Time from the end of a response until the owner releases its permit, in ms.
   */
  readonly permitLagMs: number;
  /** Minimum transit time of a report between zones, in ms. */
  readonly reportDelayMs: number;
  /**
   * Age above which a report is ignored. It must be below the time after which
   * peers replace an unresponsive owner, so that no target counts twice.
   */
  readonly maxReportAgeMs: number;
  /**
   * Safety margin of the discount, in standard deviations of the number of
   * ended requests.
   */
  readonly safetyDeviations: number;
  /** Replaces `safetyDeviations` for a pool with a queue. */
  readonly queueDeviations: number;
  /**
   * Share of the load that is discounted in addition, because requests that end
   * in a burst are not in the moving average of the rate yet.
   */
  readonly reserveRatio: number;
  /**
   * For pools with too many owners to receive the reports of all. From this
   * many reports on, each target without a report is assumed to have the mean
   * load of the others, less `safetyDeviations` standard errors. With fewer
   * reports its load counts as 0. If absent, the pool is the set of reported
   * targets.
   */
  readonly sampleReports?: number;
}

/** Options for zones a few milliseconds apart. */
export const DEFAULT_POOL_MEAN_OPTIONS: PoolMeanEstimateOptions = {
  permitLagMs: 20,
  reportDelayMs: 4,
  maxReportAgeMs: 1_200,
  safetyDeviations: 3,
  queueDeviations: 1,
  reserveRatio: 0.02,
};

/**
 * Safety margin of the discount for ended requests that are not reported yet. A
 * pool with queued requests (`line`) gets the smaller margin. The larger one
 * exceeds the load itself when the load is low, and would limit each target of
 * the pool to one request.
 */
export type DiscountMargin = "cautious" | "line";

interface StoredReport {
  readonly targets: number;
  readonly loadRequests: number;
  readonly endedPerSecond: number;
  /** Time of the measurement on this daemon's clock, in ms. */
  readonly measuredAtMs: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Estimates a lower bound of a pool's load from the reports of its owners. The
 * bound is the sum of the reported loads minus the requests that may have ended
 * since the measurements. It ignores requests admitted since.
 */
export class PoolMeanEstimate {
  readonly #options: PoolMeanEstimateOptions;
  readonly #reports = new Map<string, StoredReport>();
  /** Minimum observed offset of this daemon's clock from the sender's. */
  readonly #clockOffsetsMs = new Map<string, number>();
  #poolTargets = 0;
  #firstUseMs: number | undefined;

  constructor(options: PoolMeanEstimateOptions = DEFAULT_POOL_MEAN_OPTIONS) {
    this.#options = options;
  }

  /** Sets the number of the pool's serving targets in this daemon's view. */
  setPoolTargets(count: number): void {
    this.#poolTargets = count;
  }

  /**
   * Records the report of an owner. The minimum observed offset of the two
   * clocks reveals how long a report was delayed in transit.
   */
  recordReport(
    owner: string,
    report: PoolLoadReport,
    receivedAtMs: number,
  ): void {
    const observedOffsetMs = receivedAtMs - report.measuredAtMs;
    const knownOffsetMs = this.#clockOffsetsMs.get(owner) ?? observedOffsetMs;
    const offsetMs = Math.min(knownOffsetMs, observedOffsetMs);
    this.#clockOffsetsMs.set(owner, offsetMs);
    const measuredAtMs = report.measuredAtMs + offsetMs -
      this.#options.reportDelayMs;
    this.#reports.set(owner, {
      targets: report.loadsRequests.length,
      loadRequests: sum(report.loadsRequests),
      endedPerSecond: report.endedPerSecond,
      measuredAtMs,
    });
  }

  /**
   * Sets all reported loads to 0 because a daemon is gone, and its requests may
   * have ended with it. The targets still count.
   */
  resetLoads(): void {
    for (const [owner, report] of this.#reports) {
      this.#reports.set(owner, { ...report, loadRequests: 0 });
    }
  }

  /** Drops the report of an owner that is gone, restarted or unreachable. */
  dropReport(owner: string): void {
    this.#reports.delete(owner);
    this.#clockOffsetsMs.delete(owner);
  }

  /** Highest load that a target may have after an admission at `nowMs`. */
  limitRequests(factor: number, nowMs: number, margin: DiscountMargin): number {
    const poolTargets = this.#countTargets(nowMs);
    const loadRequests = this.lowerLoadRequests(poolTargets, nowMs, margin);
    return maxLoadRequests(factor, loadRequests, poolTargets);
  }

  /**
   * A small pool counts only the targets with a current report, since a target
   * of an unresponsive owner gets no new requests from any daemon. A large
   * pool, whose reports are sampled, counts the targets in the view.
   */
  #countTargets(nowMs: number): number {
    this.#firstUseMs ??= nowMs;
    const { targets } = this.#sumReports(nowMs);
    const hasFullReportWindow =
      nowMs - this.#firstUseMs > this.#options.maxReportAgeMs;
    const isSampled = this.#options.sampleReports !== undefined;
    if (hasFullReportWindow && !isSampled) return Math.max(targets, 1);
    return Math.max(this.#poolTargets, targets, 1);
  }

  /** Lower bound of the load of `poolTargets` targets at `nowMs`. */
  lowerLoadRequests(
    poolTargets: number,
    nowMs: number,
    margin: DiscountMargin,
  ): number {
    const sums = this.#sumReports(nowMs);
    const lowerRequests = sums.loadRequests - this.#discount(sums, margin);
    if (sums.targets === 0) return 0;
    const missingTargets = poolTargets - sums.targets;
    const { sampleReports = Number.POSITIVE_INFINITY } = this.#options;
    if (sums.reports < sampleReports || missingTargets <= 0) {
      return Math.max(0, lowerRequests);
    }
    const meanRequests = lowerRequests / sums.targets -
      this.#options.safetyDeviations * standardError(sums);
    return Math.max(0, lowerRequests + missingTargets * meanRequests);
  }

  /** Upper bound of the requests that ended since the reports. */
  #discount(sums: ReportSums, margin: DiscountMargin): number {
    const { safetyDeviations, queueDeviations, reserveRatio } = this.#options;
    const deviations = margin === "line" ? queueDeviations : safetyDeviations;
    const maxEnds = upperEnds(sums.expectedEnds, deviations);
    return maxEnds + reserveRatio * sums.loadRequests;
  }

  #sumReports(nowMs: number): ReportSums {
    const sums = {
      reports: 0,
      targets: 0,
      loadRequests: 0,
      squares: 0,
      expectedEnds: 0,
    };
    for (const report of this.#reports.values()) {
      const ageMs = nowMs - report.measuredAtMs;
      if (ageMs > this.#options.maxReportAgeMs || report.targets === 0) {
        continue;
      }
      const lagMs = ageMs + this.#options.permitLagMs;
      const ends = report.endedPerSecond * lagMs / MS_PER_SECOND;
      sums.reports += 1;
      sums.targets += report.targets;
      sums.loadRequests += report.loadRequests;
      sums.squares += report.loadRequests ** 2 / report.targets;
      sums.expectedEnds += Math.min(ends, report.loadRequests);
    }
    return sums;
  }
}

/**
 * Upper quantile of a Poisson variable. The square root of the variable is
 * approximately normal with a standard deviation of 0.5, even for a small mean.
 */
function upperEnds(expectedEnds: number, deviations: number): number {
  if (expectedEnds === 0) return 0;
  return (Math.sqrt(expectedEnds) + deviations / 2) ** 2;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

interface ReportSums {
  readonly reports: number;
  readonly targets: number;
  readonly loadRequests: number;
  /** Sum of each report's squared load divided by its number of targets. */
  readonly squares: number;
  /** Requests that ended since the reports if the reported rates persist. */
  readonly expectedEnds: number;
}

/** Standard error of the mean load per target, with one sample per report. */
function standardError(sums: ReportSums): number {
  const mean = sums.loadRequests / sums.targets;
  const variance = Math.max(0, sums.squares - mean * sums.loadRequests) /
    Math.max(1, sums.reports - 1);
  return Math.sqrt(variance / sums.targets);
}
