import { maxLoadRequests } from "./load.ts";

/** Load of the targets of one pool that one daemon keeps. */
export interface PoolLoadReport {
  readonly pool: string;
  /**
   * For each target that the daemon keeps, in order of their names, the
   * requests that holders vouch for.
   */
  readonly loadsRequests: readonly number[];
  /** Permits of these targets that ended a second. */
  readonly endedPerSecond: number;
  /** Monotonic time of the sender at the measurement, in ms. */
  readonly measuredAtMs: number;
}

/** Settings of a `PoolMeanEstimate`. */
export interface PoolMeanEstimateOptions {
  /**
   * Time from the end of an answer until its permit is back at the keeper, in
   * ms.
   */
  readonly permitLagMs: number;
  /** Least time that a report is on its way between zones, in ms. */
  readonly reportDelayMs: number;
  /**
   * A report older than this counts for nothing. It must be below the time
   * after which peers replace a silent keeper, so that no target counts twice.
   */
  readonly maxReportAgeMs: number;
  /** Standard deviations of random ends that the discount covers. */
  readonly safetyDeviations: number;
  /** The same for a pool with a waiting line. */
  readonly lineDeviations: number;
  /**
   * Part of the load that is taken off besides: ends that come in a burst are
   * not in the rate yet.
   */
  readonly reserveRatio: number;
  /**
   * For pools whose keepers are too many to hear them all. From this many
   * reports on, targets without a report are taken to have the mean of the
   * others, less its standard error; with fewer they count for nothing. Without
   * it, the pool is the targets that are reported.
   */
  readonly sampleReports?: number;
}

/** Settings for zones a few milliseconds apart. */
export const DEFAULT_POOL_MEAN_OPTIONS: PoolMeanEstimateOptions = {
  permitLagMs: 20,
  reportDelayMs: 4,
  maxReportAgeMs: 1_200,
  safetyDeviations: 3,
  lineDeviations: 1,
  reserveRatio: 0.02,
};

/**
 * How carefully ends that were not told yet are taken off. A pool with a waiting
 * line gets the smaller margin: the larger one would keep its targets at one
 * request each, since at a low load it outweighs the load itself.
 */
export type EndMargin = "cautious" | "line";

interface StoredReport {
  readonly targets: number;
  readonly loadRequests: number;
  readonly endedPerSecond: number;
  /** Time of the measurement on this daemon's clock, in ms. */
  readonly measuredAtMs: number;
}

const MS_PER_SECOND = 1_000;

/**
 * A lower bound of a pool's load, from the reports of its keepers. From their
 * sum it takes the requests that may have ended since they were measured, as
 * if none had been admitted meanwhile.
 */
export class PoolMeanEstimate {
  readonly #options: PoolMeanEstimateOptions;
  readonly #reports = new Map<string, StoredReport>();
  /** Least difference seen between this daemon's clock and the sender's. */
  readonly #clockOffsetsMs = new Map<string, number>();
  #poolTargets = 0;
  #firstUseMs: number | undefined;

  constructor(options: PoolMeanEstimateOptions = DEFAULT_POOL_MEAN_OPTIONS) {
    this.#options = options;
  }

  /** Number of serving targets by this daemon's view of the pool. */
  setPoolTargets(count: number): void {
    this.#poolTargets = count;
  }

  /**
   * Takes the report of a keeper. A report that was held up on its way is
   * recognised by the least difference of the two clocks that was seen.
   */
  noteReport(
    owner: string,
    report: PoolLoadReport,
    receivedAtMs: number,
  ): void {
    const differenceMs = receivedAtMs - report.measuredAtMs;
    const knownMs = this.#clockOffsetsMs.get(owner) ?? differenceMs;
    const offsetMs = Math.min(knownMs, differenceMs);
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
   * Drops the loads that all keepers reported: a daemon is gone, and its
   * requests may have ended with it since. The targets still count.
   */
  forgetLoads(): void {
    for (const [owner, report] of this.#reports) {
      this.#reports.set(owner, { ...report, loadRequests: 0 });
    }
  }

  /** Drops what is known of a keeper that is gone, restarted or cut off. */
  forget(owner: string): void {
    this.#reports.delete(owner);
    this.#clockOffsetsMs.delete(owner);
  }

  /** The most load that a target may have at an admission at `nowMs`. */
  limitRequests(factor: number, nowMs: number, margin: EndMargin): number {
    const poolTargets = this.#countTargets(nowMs);
    const loadRequests = this.lowerLoadRequests(poolTargets, nowMs, margin);
    return maxLoadRequests(factor, loadRequests, poolTargets);
  }

  /**
   * A small pool is what can be heard: targets whose keeper is silent get no
   * new work from anyone and are left out. A large pool is what the view shows.
   */
  #countTargets(nowMs: number): number {
    this.#firstUseMs ??= nowMs;
    const { targets } = this.#sumReports(nowMs);
    const hasHeardAll = nowMs - this.#firstUseMs > this.#options.maxReportAgeMs;
    const isSampled = this.#options.sampleReports !== undefined;
    if (hasHeardAll && !isSampled) return Math.max(targets, 1);
    return Math.max(this.#poolTargets, targets, 1);
  }

  /** Lower bound of the load of `poolTargets` targets at `nowMs`. */
  lowerLoadRequests(
    poolTargets: number,
    nowMs: number,
    margin: EndMargin,
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

  /** Requests that may have ended since the reports. */
  #discount(sums: ReportSums, margin: EndMargin): number {
    const { safetyDeviations, lineDeviations, reserveRatio } = this.#options;
    const deviations = margin === "line" ? lineDeviations : safetyDeviations;
    const mostEnds = upperEnds(sums.expectedEnds, deviations);
    return mostEnds + reserveRatio * sums.loadRequests;
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
 * Upper quantile of a Poisson count, by its square root, which is close to
 * normal with a deviation of a half also where the mean is small.
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
  /** Sum over the reports of their load squared over their targets. */
  readonly squares: number;
  /** Requests that ended since the reports, if they went on as before. */
  readonly expectedEnds: number;
}

/** Standard error of the mean load of one target, from whole reports. */
function standardError(sums: ReportSums): number {
  const mean = sums.loadRequests / sums.targets;
  const variance = Math.max(0, sums.squares - mean * sums.loadRequests) /
    Math.max(1, sums.reports - 1);
  return Math.sqrt(variance / sums.targets);
}
