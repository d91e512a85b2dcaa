/** Checks are made each time that this part of the limit was allocated. */
const CHECKS_PER_LIMIT = 4;

/** How a `GarbageLimit` sees the buffers of the process. */
export interface GarbageLimitOptions {
  readonly maxGarbageBytes: number;
  /** The bytes of all buffers of the process, garbage included. */
  readonly readBufferBytes: () => number;
  /** Collects all garbage at once. */
  readonly collect: () => void;
}

/**
 * Bounds the buffers that are garbage but not collected yet. V8 collects them
 * late: it lets them grow by 64 MB first, and on a machine with much memory by
 * much more, while a byte budget counts them as free.
 */
export class GarbageLimit {
  readonly #options: GarbageLimitOptions;
  #lowestBytes: number;
  #uncheckedBytes = 0;

  constructor(options: GarbageLimitOptions) {
    this.#options = options;
    this.#lowestBytes = options.readBufferBytes();
  }

  /** Call it for the bytes of each new buffer that may soon be garbage. */
  onAllocated(bytes: number): void {
    const { maxGarbageBytes, readBufferBytes, collect } = this.#options;
    this.#uncheckedBytes += bytes;
    if (this.#uncheckedBytes * CHECKS_PER_LIMIT < maxGarbageBytes) return;
    this.#uncheckedBytes = 0;
    const bufferBytes = readBufferBytes();
    this.#lowestBytes = Math.min(this.#lowestBytes, bufferBytes);
    if (bufferBytes - this.#lowestBytes <= maxGarbageBytes) return;
    collect();
    this.#lowestBytes = readBufferBytes();
  }
}
