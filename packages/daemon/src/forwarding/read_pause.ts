import type { InFlightAttempt, TimerService } from "@coltsfootford/core";
import type { HeldBytes } from "../buffering/index.ts";

/**
 * Time without reading after which a target may have aborted its response for
 * it. Targets abort responses that stay unread for some seconds.
 */
const LONG_PAUSE_MS = 1_000;
/** What Node.js reads ahead of a paused response: its buffer and one read. */
const READ_AHEAD_BYTES = 128 * 1024;

/** The times in which a response is not read, because its client is slow. */
export class ReadPause {
  readonly #inFlight: InFlightAttempt;
  readonly #held: HeldBytes;
  readonly #timer: TimerService;
  #pausedAtMs: number | undefined;
  #pausedMs = 0;

  constructor(
    { inFlight, held }: {
      readonly inFlight: InFlightAttempt;
      readonly held: HeldBytes;
    },
    timer: TimerService,
  ) {
    this.#inFlight = inFlight;
    this.#held = held;
    this.#timer = timer;
  }

  /** Whether the pauses up to now were long in total. */
  get wasLong(): boolean {
    const currentMs = this.#pausedAtMs === undefined
      ? 0
      : this.#timer.nowMs() - this.#pausedAtMs;
    return this.#pausedMs + currentMs >= LONG_PAUSE_MS;
  }

  set(isPaused: boolean): void {
    if (isPaused === (this.#pausedAtMs !== undefined)) return;
    const nowMs = this.#timer.nowMs();
    this.#inFlight.isPaused = isPaused;
    if (isPaused) {
      this.#pausedAtMs = nowMs;
      this.#held.charge(READ_AHEAD_BYTES);
      return;
    }
    this.#pausedMs += nowMs - this.#pausedAtMs!;
    this.#pausedAtMs = undefined;
    // The target could not send during the pause.
    this.#inFlight.lastByteAtMs = nowMs;
    this.#held.discharge(READ_AHEAD_BYTES);
  }

  end(): void {
    this.set(false);
  }
}
