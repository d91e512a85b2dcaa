import type { TargetView } from "../blackboard/index.ts";

/** Time for which a target counts as just started, in ms. */
const NEW_FOR_MS = 60_000;

/**
 * Tells which targets have just begun to serve beside others. Until every
 * keeper counts a new target in the mean of its pool, it must get no permit.
 */
export class NewTargets {
  /** Since when each target has been serving without a break. */
  readonly #servingSinceMs = new Map<string, number>();
  #hasSeenTargets = false;

  /** Takes the targets as they are seen now. */
  note(targets: ReadonlyMap<string, TargetView>, nowMs: number): void {
    // Targets that were there before this daemon are not new.
    const sinceMs = this.#hasSeenTargets ? nowMs : Number.NEGATIVE_INFINITY;
    for (const { name, state } of targets.values()) {
      if (state !== "live") this.#servingSinceMs.delete(name);
      else if (!this.#servingSinceMs.has(name)) {
        this.#servingSinceMs.set(name, sinceMs);
      }
    }
    for (const name of this.#servingSinceMs.keys()) {
      if (!targets.has(name)) this.#servingSinceMs.delete(name);
    }
    if (targets.size > 0) this.#hasSeenTargets = true;
  }

  isNew(name: string, nowMs: number): boolean {
    const sinceMs = this.#servingSinceMs.get(name);
    return sinceMs !== undefined && nowMs - sinceMs < NEW_FOR_MS;
  }
}
