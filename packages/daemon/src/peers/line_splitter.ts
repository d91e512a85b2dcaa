const NEWLINE_BYTE = 0x0a;

/** The lines that a chunk completed, or the news that a line is too long. */
export type SplitLines =
  | { readonly kind: "lines"; readonly lines: readonly string[] }
  | { readonly kind: "oversized" };

/**
 * Splits a byte stream into lines of bounded length. Bytes of an unfinished
 * line are kept until the rest arrives.
 */
export class LineSplitter {
  readonly #pending: Buffer[] = [];
  #pendingBytes = 0;

  /** Takes a chunk; `maxLineBytes` bounds each line without its newline. */
  push(chunk: Buffer, maxLineBytes: number): SplitLines {
    const lines: string[] = [];
    let start = 0;
    for (;;) {
      const end = chunk.indexOf(NEWLINE_BYTE, start);
      const partEnd = end < 0 ? chunk.length : end;
      if (this.#pendingBytes + partEnd - start > maxLineBytes) {
        return { kind: "oversized" };
      }
      if (partEnd > start) this.#keep(chunk.subarray(start, partEnd));
      if (end < 0) return { kind: "lines", lines };
      lines.push(this.#takeLine());
      start = end + 1;
    }
  }

  #keep(part: Buffer): void {
    this.#pending.push(part);
    this.#pendingBytes += part.length;
  }

  #takeLine(): string {
    const line = Buffer.concat(this.#pending).toString("utf8");
    this.#pending.length = 0;
    this.#pendingBytes = 0;
    return line;
  }
}
