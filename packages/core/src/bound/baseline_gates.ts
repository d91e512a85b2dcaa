import { maxLoadRequests } from "./load.ts";

/** A target's load in a report that lags behind the actual load. */
export interface LaggingLoad {
  readonly target: string;
  readonly loadRequests: number;
}

/**
 * Baseline for comparison that exchanges no messages. Each daemon admits by
 * lagging load reports plus its own admissions since the last report. The bound
 * does not hold when several daemons admit concurrently.
 */
export class LocalEstimateGate {
  readonly #factor: number;
  #loads = new Map<string, number>();

  constructor(factor: number) {
    this.#factor = factor;
  }

  /** Replaces the load estimates of the pool's targets. */
  setReports(loads: readonly LaggingLoad[]): void {
    this.#loads = new Map(
      loads.map((load) => [load.target, load.loadRequests]),
    );
  }

  /** Admits a request if the target's estimated load stays within the limit. */
  tryAdmit(target: string): boolean {
    const loadRequests = this.#loads.get(target) ?? 0;
    let sumRequests = 0;
    for (const load of this.#loads.values()) sumRequests += load;
    const limit = maxLoadRequests(this.#factor, sumRequests, this.#loads.size);
    if (loadRequests + 1 > limit) return false;
    this.#loads.set(target, loadRequests + 1);
    return true;
  }
}

/**
 * Baseline for comparison that exchanges no messages per request. Each daemon
 * gets an equal share of each target's limit and counts only its own requests
 * against the share.
 */
export class DividedShareGate {
  readonly #factor: number;
  readonly #ownRequests = new Map<string, number>();
  #meanRequests = 0;
  #daemons = 1;

  constructor(factor: number) {
    this.#factor = factor;
  }

  /** Sets the pool's mean load, which lags, and the number of daemons. */
  setMean(meanRequests: number, daemons: number): void {
    this.#meanRequests = meanRequests;
    this.#daemons = daemons;
  }

  /** Admits a request if it fits into this daemon's share of the target. */
  tryAdmit(target: string): boolean {
    const ownRequests = this.#ownRequests.get(target) ?? 0;
    const limit = Math.max(1, Math.floor(this.#factor * this.#meanRequests));
    const share = Math.max(1, Math.floor(limit / this.#daemons));
    if (ownRequests + 1 > share) return false;
    this.#ownRequests.set(target, ownRequests + 1);
    return true;
  }

  /** Frees the share of a request of this daemon that ended. */
  recordEnd(target: string): void {
    const ownRequests = this.#ownRequests.get(target) ?? 0;
    this.#ownRequests.set(target, Math.max(0, ownRequests - 1));
  }
}
