import {
  type ClaimEntry,
  countAnswerBytes,
  countOperations,
  isUrgent,
} from "./claim_entry.ts";

/** How claims are collected into transactions. */
export interface ClaimBatchSettings {
  /** Shortest time between two transactions of one daemon. */
  readonly batchWindowMs: number;
  /** How long a result waits for a claim that it can share a call with. */
  readonly closeDelayMs: number;
  /** Most operations in a transaction; etcd refuses more than 128. */
  readonly maxBatchOperations: number;
  /** Most bytes of recorded answers in a transaction. */
  readonly maxBatchAnswerBytes: number;
  /** Most transactions that wait for their answer at a time. */
  readonly maxTransactionsInFlight: number;
  /** First and longest pause after a transaction that failed. */
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
}

/**
 * Entries that wait to be written, and the time at which the next transaction
 * may be sent. Claims and releases go at once when the window since the last
 * transaction is over; results wait a little longer, so that they share a call.
 */
export class ClaimQueue {
  readonly #settings: ClaimBatchSettings;
  readonly #waiting = new Set<ClaimEntry>();
  #notBeforeMs = 0;
  #backoffMs = 0;

  constructor(settings: ClaimBatchSettings) {
    this.#settings = settings;
  }

  get size(): number {
    return this.#waiting.size;
  }

  add(entry: ClaimEntry, nowMs: number): void {
    entry.queuedAtMs = nowMs;
    this.#waiting.add(entry);
  }

  remove(entry: ClaimEntry): void {
    this.#waiting.delete(entry);
  }

  has(entry: ClaimEntry): boolean {
    return this.#waiting.has(entry);
  }

  /** Slows the next transactions down after one failed. */
  noteFailure(nowMs: number): void {
    const { minBackoffMs, maxBackoffMs } = this.#settings;
    this.#backoffMs = Math.min(
      maxBackoffMs,
      Math.max(minBackoffMs, this.#backoffMs * 2),
    );
    this.#notBeforeMs = nowMs + this.#backoffMs;
  }

  /** Ends the slowing down, after the platform answered. */
  noteAnswer(): void {
    this.#backoffMs = 0;
  }

  /** When the next transaction is due, or undefined with nothing to write. */
  dueMs(): number | undefined {
    let dueMs: number | undefined;
    for (const entry of this.#waiting) {
      const delayMs = isUrgent(entry) ? 0 : this.#settings.closeDelayMs;
      const entryDueMs = entry.queuedAtMs + delayMs;
      if (dueMs === undefined || entryDueMs < dueMs) dueMs = entryDueMs;
      // Later entries were queued later, so none of them is due earlier.
      if (isUrgent(entry)) break;
    }
    return dueMs === undefined ? undefined : Math.max(dueMs, this.#notBeforeMs);
  }

  /**
   * Takes the entries of the next transaction, in the order in which they came.
   * Entries whose last transaction failed on another's conflict go without
   * newcomers, which could make them fail again and again.
   */
  take(nowMs: number): ClaimEntry[] {
    const dueMs = this.dueMs();
    if (dueMs === undefined || dueMs > nowMs) return [];
    const all = [...this.#waiting];
    const retried = all.filter((entry) => entry.retriedAfterConflict);
    const taken = this.#fit(retried.length > 0 ? retried : all);
    for (const entry of taken) this.#waiting.delete(entry);
    this.#notBeforeMs = nowMs + this.#settings.batchWindowMs;
    return taken;
  }

  #fit(candidates: readonly ClaimEntry[]): ClaimEntry[] {
    const { maxBatchOperations, maxBatchAnswerBytes } = this.#settings;
    const taken: ClaimEntry[] = [];
    let operations = 0;
    let answerBytes = 0;
    for (const entry of candidates) {
      operations += countOperations(entry);
      answerBytes += countAnswerBytes(entry);
      if (operations > maxBatchOperations) break;
      if (answerBytes > maxBatchAnswerBytes && taken.length > 0) break;
      taken.push(entry);
    }
    return taken;
  }
}
