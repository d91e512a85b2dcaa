import { maxLoadRequests } from "./load.ts";

/** A target's load as a lagging report tells it. */
export interface LaggingLoad {
  readonly target: string;
  readonly loadRequests: number;
}

/**
 * A baseline without exchanges: each daemon decides by the lagging reports and
 * its own admissions since. It does not keep the bound when others admit too.
 */
export class LocalEstimateGate {
  readonly #factor: number;
  #loads = new Map<string, number>();

  constructor(factor: number) {
    this.#factor = factor;
  }

  /** Replaces what is known of the pool. */
  noteReports(loads: readonly LaggingLoad[]): void {
    this.#loads = new Map(
      loads.map((load) => [load.target, load.loadRequests]),
    );
  }

  /** Admits a request to the target if the estimate allows it. */
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
 * A baseline without exchanges per request: every daemon has an equal part of
 * each target's limit, counted over its own requests alone.
 */
export class DividedShareGate {
  readonly #factor: number;
  readonly #ownRequests = new Map<string, number>();
  #meanRequests = 0;
  #daemons = 1;

  constructor(factor: number) {
    this.#factor = factor;
  }

  /** Sets the lagging mean load of the pool and the number of daemons. */
  noteMean(meanRequests: number, daemons: number): void {
    this.#meanRequests = meanRequests;
    this.#daemons = daemons;
  }

  /** Admits a request to the target if this daemon's part allows it. */
  tryAdmit(target: string): boolean {
    const ownRequests = this.#ownRequests.get(target) ?? 0;
    const limit = Math.max(1, Math.floor(this.#factor * this.#meanRequests));
    const share = Math.max(1, Math.floor(limit / this.#daemons));
    if (ownRequests + 1 > share) return false;
    this.#ownRequests.set(target, ownRequests + 1);
    return true;
  }

  /** Notes that a request of this daemon ended. */
  noteEnd(target: string): void {
    const ownRequests = this.#ownRequests.get(target) ?? 0;
    this.#ownRequests.set(target, Math.max(0, ownRequests - 1));
  }
}
