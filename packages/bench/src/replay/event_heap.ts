interface HeapEvent {
  readonly atMs: number;
  /** Creation order; breaks ties between events with the same time. */
  readonly sequence: number;
  readonly action: () => void;
}

/** Virtual clock with a binary heap of scheduled events. */
export class EventHeap {
  readonly #events: HeapEvent[] = [];
  #nowMs = 0;
  #sequence = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  /** Calls `action` at `atMs`, or at the current time if `atMs` has passed. */
  at(atMs: number, action: () => void): void {
    const event = {
      atMs: Math.max(atMs, this.#nowMs),
      sequence: this.#sequence++,
      action,
    };
    this.#events.push(event);
    this.#siftUp(this.#events.length - 1);
  }

  /** Calls `action` after `delayMs`. */
  after(delayMs: number, action: () => void): void {
    this.at(this.#nowMs + delayMs, action);
  }

  /** Executes the events up to `endMs` and sets the clock to `endMs`. */
  runUntil(endMs: number): void {
    for (;;) {
      const first = this.#events[0];
      if (!first || first.atMs > endMs) break;
      this.#removeFirst();
      this.#nowMs = first.atMs;
      first.action();
    }
    this.#nowMs = endMs;
  }

  #removeFirst(): void {
    const last = this.#events.pop()!;
    if (this.#events.length === 0) return;
    this.#events[0] = last;
    this.#siftDown(0);
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  #siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const count = this.#events.length;
      let first = index;
      if (left < count && this.#isBefore(left, first)) first = left;
      if (right < count && this.#isBefore(right, first)) first = right;
      if (first === index) return;
      this.#swap(index, first);
      index = first;
    }
  }

  #isBefore(left: number, right: number): boolean {
    const a = this.#events[left]!;
    const b = this.#events[right]!;
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
  }

  #swap(left: number, right: number): void {
    const event = this.#events[left]!;
    this.#events[left] = this.#events[right]!;
    this.#events[right] = event;
  }
}
