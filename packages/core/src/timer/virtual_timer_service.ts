import { type CancelTimer, TimerService } from "./timer_service.ts";

interface VirtualTimer {
  readonly id: number;
  dueMs: number;
  /** Zero for a timer that fires once. */
  readonly periodMs: number;
  readonly action: () => void;
}

/**
 * A timer service whose time moves only when `advance` is called. Timers that
 * are due at the same time fire in the order in which they were subscribed.
 */
export class VirtualTimerService extends TimerService {
  #currentMs = 0;
  #nextId = 1;
  readonly #timers = new Map<number, VirtualTimer>();

  override nowMs(): number {
    return this.#currentMs;
  }

  override wallClockMs(): number {
    return this.#currentMs;
  }

  override every(periodMs: number, action: () => void): CancelTimer {
    return this.#subscribe(periodMs, periodMs, action);
  }

  override after(delayMs: number, action: () => void): CancelTimer {
    return this.#subscribe(delayMs, 0, action);
  }

  /** Moves time forward by `durationMs` and fires what falls due on the way. */
  advance(durationMs: number): void {
    const endMs = this.#currentMs + durationMs;
    for (;;) {
      const timer = this.#nextDue(endMs);
      if (!timer) break;
      this.#currentMs = timer.dueMs;
      this.#fire(timer);
    }
    this.#currentMs = endMs;
  }

  #subscribe(
    delayMs: number,
    periodMs: number,
    action: () => void,
  ): CancelTimer {
    const id = this.#nextId++;
    const dueMs = this.#currentMs + Math.max(0, delayMs);
    this.#timers.set(id, { id, dueMs, periodMs, action });
    return () => {
      this.#timers.delete(id);
    };
  }

  #nextDue(endMs: number): VirtualTimer | undefined {
    let first: VirtualTimer | undefined;
    for (const timer of this.#timers.values()) {
      if (timer.dueMs > endMs) continue;
      if (!first || timer.dueMs < first.dueMs) first = timer;
    }
    return first;
  }

  #fire(timer: VirtualTimer): void {
    if (timer.periodMs > 0) timer.dueMs += timer.periodMs;
    else this.#timers.delete(timer.id);
    timer.action();
  }
}
