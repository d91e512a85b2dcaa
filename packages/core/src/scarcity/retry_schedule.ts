/** A rejected request that needs a time to return. */
export interface ReturningRequest {
  readonly id: string;
  /** Requests of higher cost return earlier. */
  readonly cost: number;
  /** Time of the whole target that the request takes. */
  readonly targetMs: number;
  /** Time until the deadline of the client. */
  readonly leftMs: number;
}

interface ScheduledReturn {
  readonly atMs: number;
  readonly cost: number;
  readonly targetMs: number;
}

/** Share of the time left up to which clients honour a retry time. */
const HONOURED_SHARE = 1 / 3;
const MIN_RETRY_MS = 10;
/** A retry time for clients without a deadline; the load changes meanwhile. */
const MAX_RETRY_MS = 30_000;
/** Limits the memory and the work of a rejection. */
const MAX_RETURNS = 128;
/** The golden ratio spreads any number of consecutive returns evenly. */
const SPREAD_STEP = (Math.sqrt(5) - 1) / 2;

/**
 * Spreads the return of rejected clients in the order in which they can be
 * served.
 */
export class RetrySchedule {
  readonly #returns = new Map<string, ScheduledReturn>();
  #spread = 0;

  /**
   * Returns the retry time that a request gets if it is rejected; `backlogMs` is the time until
   * the target has served what goes before it. A client that returns before its
   * time gets the rest of that time.
   */
  plan(request: ReturningRequest, backlogMs: number, nowMs: number): number {
    const maxMs = request.leftMs > 0
      ? request.leftMs * HONOURED_SHARE
      : Infinity;
    const earlier = this.#returns.get(request.id);
    if (earlier && earlier.atMs > nowMs) {
      return Math.min(earlier.atMs - nowMs, maxMs);
    }
    let waitMs = backlogMs + request.targetMs;
    for (const [id, scheduled] of this.#returns) {
      if (scheduled.atMs <= nowMs) this.#returns.delete(id);
      else if (scheduled.cost >= request.cost) waitMs += scheduled.targetMs;
    }
    return this.#limit(Math.max(MIN_RETRY_MS, waitMs), maxMs);
  }

  /** Records that the request has been rejected with this retry time. */
  add(request: ReturningRequest, retryAfterMs: number, nowMs: number): void {
    const { id, cost, targetMs } = request;
    this.#spread = (this.#spread + SPREAD_STEP) % 1;
    if (this.#returns.size >= MAX_RETURNS && !this.#returns.has(id)) return;
    this.#returns.set(id, { atMs: nowMs + retryAfterMs, cost, targetMs });
  }

  /** Removes a request that has returned and is served. */
  remove(id: string): void {
    this.#returns.delete(id);
  }

  /**
   * Spreads clients that would return after the limit over its second half;
   * otherwise those with the same deadline would return at the same moment.
   */
  #limit(waitMs: number, maxMs: number): number {
    if (waitMs <= maxMs) return Math.min(waitMs, MAX_RETRY_MS);
    return maxMs * (1 + this.#spread) / 2;
  }
}
