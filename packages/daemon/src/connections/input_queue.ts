import type { TimerService } from "@coltsfootford/core";

/** Time that queued input may take in one turn of the event loop. */
const MAX_TURN_MS = 5;

/** Input of a connection that waits for its share of the event loop. */
export interface QueuedInput {
  /** Handles a part of the input. */
  advance(): void;
}

/**
 * The connections whose input has taken more than their share of a turn of the
 * event loop. They take turns, and other connections are read in between.
 */
export class InputQueue {
  readonly #timer: TimerService;
  readonly #inputs = new Set<QueuedInput>();
  #isScheduled = false;

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Adds an input at the end, unless it waits already. */
  add(input: QueuedInput): void {
    this.#inputs.add(input);
    this.#schedule();
  }

  delete(input: QueuedInput): void {
    this.#inputs.delete(input);
  }

  #schedule(): void {
    if (this.#isScheduled || this.#inputs.size === 0) return;
    this.#isScheduled = true;
    setImmediate(() => this.#run());
  }

  #run(): void {
    this.#isScheduled = false;
    const endAtMs = this.#timer.nowMs() + MAX_TURN_MS;
    // An input that is not done adds itself again, behind the others.
    for (const input of this.#inputs) {
      this.#inputs.delete(input);
      input.advance();
      if (this.#timer.nowMs() >= endAtMs) break;
    }
    this.#schedule();
  }
}
