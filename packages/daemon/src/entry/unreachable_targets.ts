import type { TimerService } from "@coltsfootford/core";

/** How long a target that refused a connection is left alone. */
const AVOIDED_MS = 250;

/**
 * Remembers targets that could not be reached a moment ago, so that a request
 * does not use up its tries on a target that is down. It is only a hint: the
 * views of the daemon decide on longer absences.
 */
export class UnreachableTargets {
  readonly #timer: TimerService;
  readonly #failedAtMs = new Map<string, number>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  note(target: string): void {
    this.#failedAtMs.set(target, this.#timer.nowMs());
  }

  has(target: string): boolean {
    const failedAtMs = this.#failedAtMs.get(target);
    if (failedAtMs === undefined) return false;
    if (this.#timer.nowMs() - failedAtMs < AVOIDED_MS) return true;
    this.#failedAtMs.delete(target);
    return false;
  }
}
