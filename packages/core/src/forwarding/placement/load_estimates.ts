import type { TargetRecord } from "../targets/target_record.ts";

/**
 * Estimated loads of the targets of one service. A target without a recent
 * report is expected to have the mean load of the targets with one.
 */
export class LoadEstimates {
  /** Mean load of the targets, in requests. */
  readonly mean: number;
  readonly #expectedOtherRequests: number;
  readonly #nowMs: number;

  constructor(records: readonly TargetRecord[], nowMs: number) {
    this.#nowMs = nowMs;
    let weights = 0;
    let weightedRequests = 0;
    let ownRequests = 0;
    for (const record of records) {
      const weight = record.ownReportWeight(nowMs);
      weights += weight;
      weightedRequests += weight * record.reportedOtherRequests;
      ownRequests += record.ownRequests;
    }
    this.#expectedOtherRequests = weights > 0 ? weightedRequests / weights : 0;
    this.mean = this.#expectedOtherRequests +
      ownRequests / Math.max(1, records.length);
  }

  /**
   * Estimated load, with a random part where the report is old. Daemons that
   * each heard the same target as the least loaded spread their requests by it.
   * `random` is from 0 to 1.
   */
  sample(record: TargetRecord, random: number): number {
    const unknownShare = 1 - record.ownReportWeight(this.#nowMs);
    const deviation = Math.sqrt(3 * this.mean) * unknownShare;
    return Math.max(0, this.of(record) + deviation * (2 * random - 1));
  }

  /** Estimated in-flight requests of all daemons at the target. */
  of(record: TargetRecord): number {
    return record.estimateLoad(this.#nowMs, this.#expectedOtherRequests);
  }
}
