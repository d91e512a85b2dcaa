import { type CancelTimer, TimerService } from "@coltsfootford/core";
import type { EventHeap } from "./event_heap.ts";
import type { FakeDaemon } from "./fake_daemon.ts";

/** Virtual time of one daemon. No timer fires while the daemon is paused. */
export class DaemonTimer extends TimerService {
  readonly #heap: EventHeap;
  readonly #daemon: FakeDaemon;

  constructor(heap: EventHeap, daemon: FakeDaemon) {
    super();
    this.#heap = heap;
    this.#daemon = daemon;
  }

  override nowMs(): number {
    return this.#heap.nowMs;
  }

  override wallClockMs(): number {
    return this.#heap.nowMs;
  }

  override after(delayMs: number, action: () => void): CancelTimer {
    const timer = { isActive: true };
    this.#heap.after(delayMs, () =>
      this.#daemon.run(() => {
        if (timer.isActive) action();
      }));
    return () => {
      timer.isActive = false;
    };
  }

  override every(periodMs: number, action: () => void): CancelTimer {
    const timer = { isActive: true };
    const tick = () => {
      if (!timer.isActive || !this.#daemon.isUp) return;
      this.#daemon.run(action);
      this.#heap.after(periodMs, tick);
    };
    this.#heap.after(periodMs, tick);
    return () => {
      timer.isActive = false;
    };
  }
}
