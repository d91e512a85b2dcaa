const NEWLINE_BYTE = 0x0a;

/** The lines that a chunk completed, or `oversized` if a line is too long. */
export type SplitLines =
  | { readonly kind: "lines"; readonly lines: readonly string[] }
  | { readonly kind: "oversized" };

/**
 * Splits a byte stream into lines of bounded length. The bytes of an
 * incomplete line are buffered until the rest arrives.
 */
export class LineSplitter {
  readonly #pending: Buffer[] = [];
  #pendingBytes = 0;

  /**
   * Adds a chunk and returns the completed lines. `maxLineBytes` limits each
   * line without its newline.
   */
  push(chunk: Buffer, maxLineBytes: number): SplitLines {
    const lines: string[] = [];
    let start = 0;
    for (;;) {
      const end = chunk.indexOf(NEWLINE_BYTE, start);
      const partEnd = end < 0 ? chunk.length : end;
      if (this.#pendingBytes + partEnd - start > maxLineBytes) {
        return { kind: "oversized" };
      }
      if (partEnd > start) this.#append(chunk.subarray(start, partEnd));
      if (end < 0) return { kind: "lines", lines };
      lines.push(this.#consumeLine());
      start = end + 1;
    }
  }

  #append(part: Buffer): void {
    this.#pending.push(part);
    this.#pendingBytes += part.length;
  }

  #consumeLine(): string {
    const line = Buffer.concat(this.#pending).toString("utf8");
    this.#pending.length = 0;
    this.#pendingBytes = 0;
    return line;
  }
}
