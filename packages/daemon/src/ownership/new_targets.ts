import type { TargetView } from "../blackboard/index.ts";

/** Time for which a target counts as new after it started to serve. */
const NEW_TARGET_PERIOD_MS = 60_000;

/**
 * Tracks which targets have recently started to serve in a running fleet. A
 * new target must get no permit until every owner includes it in the mean of
 * its pool.
 */
export class NewTargets {
  /** Start of each target's current uninterrupted time in state `live`. */
  readonly #servingSinceMs = new Map<string, number>();
  #hasSeenTargets = false;

  /** Updates the start times from the current target views. */
  update(targets: ReadonlyMap<string, TargetView>, nowMs: number): void {
    // Targets in the first non-empty view started to serve before this daemon
    // started, so they are not new.
    const startedAtMs = this.#hasSeenTargets ? nowMs : Number.NEGATIVE_INFINITY;
    for (const { name, state } of targets.values()) {
      if (state !== "live") this.#servingSinceMs.delete(name);
      else if (!this.#servingSinceMs.has(name)) {
        this.#servingSinceMs.set(name, startedAtMs);
      }
    }
    for (const name of this.#servingSinceMs.keys()) {
      if (!targets.has(name)) this.#servingSinceMs.delete(name);
    }
    if (targets.size > 0) this.#hasSeenTargets = true;
  }

  isNew(name: string, nowMs: number): boolean {
    const startedAtMs = this.#servingSinceMs.get(name);
    return startedAtMs !== undefined &&
      nowMs - startedAtMs < NEW_TARGET_PERIOD_MS;
  }
}
