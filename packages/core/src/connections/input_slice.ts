const LF = 0x0a;
const CR = 0x0d;

/** Longest slice of a head, or of a body in chunks. */
export const MAX_SLICE_BYTES = 4_096;

/**
 * The number of bytes to give to an HTTP parser next, so that it sees the end of
 * at most one head: `declaredBytesLeft` of a body with a length, or else the
 * bytes up to the next empty line, with which heads and bodies in chunks end.
 * What is left is included if it is short and ends no further head. What a
 * parser does for a slice is bounded by `MAX_SLICE_BYTES`, since a body with a
 * length is one piece for it.
 */
export function nextInputSlice(
  input: Uint8Array,
  declaredBytesLeft: number,
): number {
  if (declaredBytesLeft > 0) return Math.min(declaredBytesLeft, input.length);
  const end = findEmptyLineEnd(input, 0);
  if (end === -1) return Math.min(input.length, MAX_SLICE_BYTES);
  const isLast = input.length <= MAX_SLICE_BYTES &&
    findEmptyLineEnd(input, end) === -1;
  return isLast ? input.length : end;
}

/** The end of the next empty line within a slice, or -1. */
export function findEmptyLineEnd(input: Uint8Array, start: number): number {
  let lineEnd = input.indexOf(LF, start);
  while (lineEnd !== -1 && lineEnd < start + MAX_SLICE_BYTES) {
    const next = input[lineEnd + 1] === CR ? lineEnd + 2 : lineEnd + 1;
    if (input[next] === LF) return next + 1;
    lineEnd = input.indexOf(LF, lineEnd + 1);
  }
  return -1;
}
