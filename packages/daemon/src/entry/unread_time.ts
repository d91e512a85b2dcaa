import type { TimerService } from "@coltsfootford/core";

/**
 * Time without reading after which a target may have aborted its response for
 * it. Targets abort responses that stay unread for some seconds.
 */
const LONG_PAUSE_MS = 1_000;

/** How long a response of a target was not read, because its client is slow. */
export class UnreadTime {
  readonly #timer: TimerService;
  #pausedAtMs: number | undefined;
  #pausedMs = 0;

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Whether the target may have aborted its response for the pauses so far. */
  get isLong(): boolean {
    return this.#pausedMs + this.#currentMs >= LONG_PAUSE_MS;
  }

  pause(): void {
    this.#pausedAtMs ??= this.#timer.nowMs();
  }

  resume(): void {
    this.#pausedMs += this.#currentMs;
    this.#pausedAtMs = undefined;
  }

  get #currentMs(): number {
    if (this.#pausedAtMs === undefined) return 0;
    return this.#timer.nowMs() - this.#pausedAtMs;
  }
}
