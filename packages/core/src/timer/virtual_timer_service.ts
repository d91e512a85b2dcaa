import { type CancelTimer, TimerService } from "./timer_service.ts";

interface VirtualTimer {
  /** Increases with each subscription; orders timers of the same due time. */
  readonly id: number;
  dueMs: number;
  /** Zero for a timer that fires once. */
  readonly periodMs: number;
  readonly action: () => void;
  isCancelled: boolean;
}

/**
 * A timer service whose time advances only when `advance` is called. Timers
 * with the same due time fire in the order of their subscription. A binary heap
 * holds the timers, so that replays with thousands of them are cheap.
 */
export class VirtualTimerService extends TimerService {
  #currentMs = 0;
  #nextId = 1;
  readonly #heap: VirtualTimer[] = [];

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

  /** Advances time by `durationMs` and fires the timers that become due. */
  advance(durationMs: number): void {
    const endMs = this.#currentMs + durationMs;
    for (;;) {
      const timer = this.#heap[0];
      if (!timer || timer.dueMs > endMs) break;
      this.#removeFirst();
      if (timer.isCancelled) continue;
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
    const timer = { id, dueMs, periodMs, action, isCancelled: false };
    this.#insert(timer);
    return () => {
      timer.isCancelled = true;
    };
  }

  #fire(timer: VirtualTimer): void {
    if (timer.periodMs > 0) {
      timer.dueMs += timer.periodMs;
      this.#insert(timer);
    }
    timer.action();
  }

  #insert(timer: VirtualTimer): void {
    const heap = this.#heap;
    let at = heap.length;
    while (at > 0) {
      const parentAt = (at - 1) >> 1;
      const parent = heap[parentAt]!;
      if (isBefore(parent, timer)) break;
      heap[at] = parent;
      at = parentAt;
    }
    heap[at] = timer;
  }

  #removeFirst(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let at = 0;
    for (;;) {
      const left = at * 2 + 1;
      if (left >= heap.length) break;
      const right = left + 1;
      const isRightFirst = right < heap.length &&
        isBefore(heap[right]!, heap[left]!);
      const childAt = isRightFirst ? right : left;
      const child = heap[childAt]!;
      if (isBefore(last, child)) break;
      heap[at] = child;
      at = childAt;
    }
    heap[at] = last;
  }
}

function isBefore(left: VirtualTimer, right: VirtualTimer): boolean {
  if (left.dueMs !== right.dueMs) return left.dueMs < right.dueMs;
  return left.id < right.id;
}
