import type { BodyPieces } from "./body_bytes.ts";
import type { HeldBytes } from "./held_bytes.ts";

const MIN_PIECE_BYTES = 512;
/** The size in which Node.js reads from sockets. */
const MAX_PIECE_BYTES = 64 * 1024;
/** The objects of V8 and the allocator that a `Buffer` of its own needs. */
export const PIECE_OVERHEAD_BYTES = 256;

/**
 * A body that arrives in chunks. They are copied, since each chunk keeps alive
 * the whole buffer of 64 KiB in which it was read. Pieces double in size up to
 * that of one read, so that a body takes at most about twice its bytes.
 */
export class PieceBuffer implements BodyPieces {
  readonly #held: HeldBytes;
  #pieces: Buffer[] = [];
  /** Bytes of the last piece that are filled. */
  #usedBytes = 0;
  #length = 0;
  #chargedBytes = 0;

  constructor(held: HeldBytes) {
    this.#held = held;
  }

  /** The holding that is charged for the content. */
  get held(): HeldBytes {
    return this.#held;
  }

  /** Bytes that were appended. */
  get length(): number {
    return this.#length;
  }

  /** The content so far. */
  get pieces(): readonly Buffer[] {
    const last = this.#pieces.at(-1);
    if (!last || this.#usedBytes === last.length) return this.#pieces;
    return [...this.#pieces.slice(0, -1), last.subarray(0, this.#usedBytes)];
  }

  /** Copies a chunk. Its charge may evict the holding. */
  append(chunk: Buffer): void {
    let copiedBytes = 0;
    while (copiedBytes < chunk.length) {
      const leftBytes = chunk.length - copiedBytes;
      const piece = this.#pieceWithRoom(leftBytes);
      if (!piece) return;
      const count = Math.min(leftBytes, piece.length - this.#usedBytes);
      chunk.copy(piece, this.#usedBytes, copiedBytes, copiedBytes + count);
      this.#usedBytes += count;
      copiedBytes += count;
    }
    this.#length += chunk.length;
  }

  /** Drops the content, but not the holding. */
  clear(): void {
    this.#pieces = [];
    this.#usedBytes = 0;
    this.#length = 0;
    this.#held.discharge(this.#chargedBytes);
    this.#chargedBytes = 0;
  }

  /** Drops the content, and releases the holding. */
  release(): void {
    this.clear();
    this.#held.release();
  }

  #pieceWithRoom(wantedBytes: number): Buffer | undefined {
    const last = this.#pieces.at(-1);
    if (last && this.#usedBytes < last.length) return last;
    const grownBytes = Math.max(wantedBytes, 2 * (last?.length ?? 0));
    const pieceBytes = Math.min(
      MAX_PIECE_BYTES,
      Math.max(MIN_PIECE_BYTES, grownBytes),
    );
    const costBytes = pieceBytes + PIECE_OVERHEAD_BYTES;
    this.#chargedBytes += costBytes;
    this.#held.charge(costBytes);
    if (this.#held.isEvicted) return undefined;
    // Not from the pool of Node.js, whose buffers several owners keep alive.
    const piece = Buffer.allocUnsafeSlow(pieceBytes);
    this.#pieces.push(piece);
    this.#usedBytes = 0;
    return piece;
  }
}
