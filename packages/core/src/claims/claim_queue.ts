import {
  type ClaimEntry,
  countOperations,
  countResponseBytes,
  isUrgent,
} from "./claim_entry.ts";

/** How claims are batched into transactions. */
export interface ClaimBatchSettings {
  /** Minimum time between two transactions of one daemon. */
  readonly batchWindowMs: number;
  /** How long a result waits for a claim to share a transaction with. */
  readonly resultDelayMs: number;
  /**
   * Maximum number of operations in a transaction; etcd rejects more than 128.
   */
  readonly maxBatchOperations: number;
  /** Maximum size of the recorded responses in a transaction, in bytes. */
  readonly maxBatchResponseBytes: number;
  /** Maximum number of transactions in flight. */
  readonly maxTransactionsInFlight: number;
  /** Initial and maximum backoff after a failed transaction. */
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
}

/**
 * Queue of entries to write, with the time at which the next transaction may be
 * sent. Claims and releases are sent as soon as the batch window since the last
 * transaction has passed. Results wait up to `resultDelayMs` longer, so that
 * they can share a transaction with a claim.
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

  /** Increases the backoff after a failed transaction. */
  onFailure(nowMs: number): void {
    const { minBackoffMs, maxBackoffMs } = this.#settings;
    this.#backoffMs = Math.min(
      maxBackoffMs,
      Math.max(minBackoffMs, this.#backoffMs * 2),
    );
    this.#notBeforeMs = nowMs + this.#backoffMs;
  }

  /** Resets the backoff after a response of the platform. */
  onResponse(): void {
    this.#backoffMs = 0;
  }

  /**
   * Monotonic time at which the next transaction is due; undefined while the
   * queue is empty.
   */
  dueMs(): number | undefined {
    let dueMs: number | undefined;
    for (const entry of this.#waiting) {
      const delayMs = isUrgent(entry) ? 0 : this.#settings.resultDelayMs;
      const entryDueMs = entry.queuedAtMs + delayMs;
      if (dueMs === undefined || entryDueMs < dueMs) dueMs = entryDueMs;
      // Entries after this one were queued later, so none of them is due
      // earlier.
      if (isUrgent(entry)) break;
    }
    return dueMs === undefined ? undefined : Math.max(dueMs, this.#notBeforeMs);
  }

  /**
   * Removes and returns the entries of the next transaction in queue order.
   * Entries whose last transaction failed on the conflict of another entry are
   * sent without new entries, which could make them fail repeatedly.
   */
  dequeueBatch(nowMs: number): ClaimEntry[] {
    const dueMs = this.dueMs();
    if (dueMs === undefined || dueMs > nowMs) return [];
    const all = [...this.#waiting];
    const retries = all.filter((entry) => entry.isRetryAfterConflict);
    const batch = this.#selectBatch(retries.length > 0 ? retries : all);
    for (const entry of batch) this.#waiting.delete(entry);
    this.#notBeforeMs = nowMs + this.#settings.batchWindowMs;
    return batch;
  }

  #selectBatch(candidates: readonly ClaimEntry[]): ClaimEntry[] {
    const { maxBatchOperations, maxBatchResponseBytes } = this.#settings;
    const batch: ClaimEntry[] = [];
    let operations = 0;
    let responseBytes = 0;
    for (const entry of candidates) {
      operations += countOperations(entry);
      responseBytes += countResponseBytes(entry);
      if (operations > maxBatchOperations) break;
      if (responseBytes > maxBatchResponseBytes && batch.length > 0) break;
      batch.push(entry);
    }
    return batch;
  }
}
