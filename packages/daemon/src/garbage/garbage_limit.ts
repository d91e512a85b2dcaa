/** Checks are made each time that this part of the limit was allocated. */
const CHECKS_PER_LIMIT = 4;

/** How a `GarbageLimit` sees the memory of the process. */
export interface GarbageLimitOptions {
  readonly maxGarbageBytes: number;
  /** The bytes of this kind of the process, garbage included. */
  readonly readBytes: () => number;
  /** Collects all garbage at once. */
  readonly collect: () => void;
}

/**
 * Bounds the bytes that are garbage but not collected yet. V8 collects them late,
 * while a byte budget counts them as free: it lets buffers grow by 64 MB first,
 * and on a machine with much memory by much more, and its heap up to its limit.
 */
export class GarbageLimit {
  readonly #options: GarbageLimitOptions;
  #lowestBytes: number;
  #uncheckedBytes = 0;

  constructor(options: GarbageLimitOptions) {
    this.#options = options;
    this.#lowestBytes = options.readBytes();
  }

  /** Call it for bytes that may soon be garbage. */
  onAllocated(addedBytes: number): void {
    const { maxGarbageBytes, readBytes, collect } = this.#options;
    this.#uncheckedBytes += addedBytes;
    if (this.#uncheckedBytes * CHECKS_PER_LIMIT < maxGarbageBytes) return;
    this.#uncheckedBytes = 0;
    const bytes = readBytes();
    this.#lowestBytes = Math.min(this.#lowestBytes, bytes);
    if (bytes - this.#lowestBytes <= maxGarbageBytes) return;
    collect();
    this.#lowestBytes = readBytes();
  }
}
