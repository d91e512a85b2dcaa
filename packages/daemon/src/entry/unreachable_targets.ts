import type { TimerService } from "@coltsfootford/core";

/** How long a target is avoided after a failed connection attempt. */
const AVOIDANCE_MS = 250;

/**
 * Targets to which a connection failed recently, so that a request does not
 * spend all its attempts on a target that is down. It covers only short
 * failures: target health decides on longer ones.
 */
export class UnreachableTargets {
  readonly #timer: TimerService;
  readonly #failedAtMs = new Map<string, number>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  record(target: string): void {
    this.#failedAtMs.set(target, this.#timer.nowMs());
  }

  has(target: string): boolean {
    const failedAtMs = this.#failedAtMs.get(target);
    if (failedAtMs === undefined) return false;
    if (this.#timer.nowMs() - failedAtMs < AVOIDANCE_MS) return true;
    this.#failedAtMs.delete(target);
    return false;
  }
}
