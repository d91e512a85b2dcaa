import { monotonicMs } from "./clock.ts";

/** One admission of a request, with the loads immediately after it. */
export interface Admission {
  /** Position among all admissions of this process, from 1. */
  readonly sequence: number;
  readonly atMonotonicMs: number;
  readonly target: string;
  readonly pool: string;
  readonly requestId: string;
  /** Requests in flight at the target, including the new one. */
  readonly loadAfter: number;
  /**
   * Requests in flight at all serving targets of the pool, including the new
   * one.
   */
  readonly poolTotal: number;
  /** Targets of the pool that are up and not leaving. */
  readonly poolTargets: number;
}

interface TargetLoad {
  readonly pool: string;
  loadRequests: number;
  isServing: boolean;
}

/**
 * The admissions of all targets of one process in a single sequence. The
 * sequence allows checking a load bound against the mean of the pool at every
 * admission.
 */
export class AdmissionLog {
  readonly #targets = new Map<string, TargetLoad>();
  #admissions: Admission[] = [];
  #sequence = 0;

  /** Adds a target, or changes whether it counts as serving. */
  setTarget(target: string, pool: string, isServing: boolean): void {
    const existing = this.#targets.get(target);
    if (existing) existing.isServing = isServing;
    else this.#targets.set(target, { pool, loadRequests: 0, isServing });
  }

  admit(target: string, requestId: string): Admission {
    const load = this.#requireTarget(target);
    load.loadRequests += 1;
    this.#sequence += 1;
    const admission: Admission = {
      sequence: this.#sequence,
      atMonotonicMs: monotonicMs(),
      target,
      pool: load.pool,
      requestId,
      loadAfter: load.loadRequests,
      ...this.#poolLoad(load.pool),
    };
    this.#admissions.push(admission);
    return admission;
  }

  release(target: string): void {
    this.#requireTarget(target).loadRequests -= 1;
  }

  list(): readonly Admission[] {
    return this.#admissions;
  }

  /** Drops the records; the current loads stay. */
  reset(): void {
    this.#admissions = [];
  }

  #poolLoad(pool: string): { poolTotal: number; poolTargets: number } {
    let poolTotal = 0;
    let poolTargets = 0;
    for (const load of this.#targets.values()) {
      if (load.pool !== pool || !load.isServing) continue;
      poolTotal += load.loadRequests;
      poolTargets += 1;
    }
    return { poolTotal, poolTargets };
  }

  #requireTarget(target: string): TargetLoad {
    const load = this.#targets.get(target);
    if (!load) throw new Error(`the target ${target} is not registered`);
    return load;
  }
}

/** Admissions whose load was above `ceil(factor * mean)` of their pool. */
export function findBoundBreaches(
  admissions: readonly Admission[],
  pool: string,
  factor: number,
): Admission[] {
  return admissions.filter((admission) => {
    if (admission.pool !== pool) return false;
    const meanRequests = admission.poolTotal /
      Math.max(1, admission.poolTargets);
    return admission.loadAfter > Math.ceil(factor * meanRequests);
  });
}
