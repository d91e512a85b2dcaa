const LF = 0x0a;
const CR = 0x0d;

/** Longest slice of a head, or of a body in chunks. */
export const MAX_SLICE_BYTES = 4_096;

/**
 * The number of bytes to give to an HTTP parser next, so that it returns after
 * each message: `declaredBytesLeft` of a body with a length, or else the bytes
 * up to the next empty line, with which heads and bodies in chunks end. What a
 * parser does for a slice is bounded by `MAX_SLICE_BYTES`, since a body with a
 * length is one piece for it.
 */
export function nextInputSlice(
  input: Uint8Array,
  start: number,
  declaredBytesLeft: number,
): number {
  const leftBytes = input.length - start;
  if (declaredBytesLeft > 0) return Math.min(declaredBytesLeft, leftBytes);
  const end = Math.min(input.length, start + MAX_SLICE_BYTES);
  let lineEnd = input.indexOf(LF, start);
  while (lineEnd !== -1 && lineEnd < end) {
    const next = input[lineEnd + 1] === CR ? lineEnd + 2 : lineEnd + 1;
    if (input[next] === LF) return next + 1 - start;
    lineEnd = input.indexOf(LF, lineEnd + 1);
  }
  return end - start;
}
