/** Memory for each byte of a head: its strings, and the copies for a target. */
const COST_PER_BYTE = 2;
/** Memory for each name and each value: objects of V8, and places in lists. */
const COST_PER_STRING_BYTES = 100;

/**
 * The memory in bytes that the head of a message takes while the message lives.
 * `rawHeaders` has names and values in turn, as in Node.js.
 */
export function headCostBytes(rawHeaders: readonly string[]): number {
  const bytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return partialHeadCostBytes(bytes, rawHeaders.length);
}

/** The memory in bytes of `bytes` of a head with as many names and values. */
export function partialHeadCostBytes(bytes: number, strings: number): number {
  return bytes * COST_PER_BYTE + strings * COST_PER_STRING_BYTES;
}
